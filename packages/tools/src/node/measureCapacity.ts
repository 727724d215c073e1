import { execFileSync } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { foldFleet, type CapacityFleet } from '../common/capacityFleet.js';
import { foldJobs, foldRequestKeys } from '../common/capacityWork.js';
import { fitLine, type CapacityPoint } from '../common/capacityFit.js';
import {
	measureChange,
	measureGrant,
	measureHostList,
	measureLease,
	measureStart,
	measureStatus,
	type CapacityCost,
} from './measureCapacityCosts.js';

/** One quantity: how to measure it at a size, and the units of what comes out. */
interface Quantity {
	readonly sizes: readonly number[];
	readonly perSize: string;
	readonly measure: (size: number) => Readonly<Record<string, number>>;
}

const base: CapacityFleet = { workers: 500, pools: 10, teams: 10, keys: 10 };

/** Heap and resident memory that a folded state adds; each point runs in a process of its own. */
function memoryOf(fold: () => { readonly offset: number }): Readonly<Record<string, number>> {
	setFlagsFromString('--expose-gc');
	const collect = runInNewContext('gc') as () => void;
	collect();
	const before = process.memoryUsage();
	const state = fold();
	collect();
	const after = process.memoryUsage();
	// Reading the state after the measurement keeps it from being collected before.
	if (state.offset < 0) {
		throw new Error('the state is empty');
	}
	return { 'heap bytes': after.heapUsed - before.heapUsed, 'resident bytes': after.rss - before.rss };
}

const costs = ({ microseconds, bytes }: CapacityCost): Readonly<Record<string, number>> => ({
	'processor microseconds': microseconds,
	bytes,
});

const quantities: Readonly<Record<string, Quantity>> = {
	'state by workers': {
		sizes: [2_500, 5_000, 10_000, 20_000],
		perSize: 'worker',
		measure: workers => memoryOf(() => foldFleet({ ...base, workers })),
	},
	'state by pools': {
		sizes: [500, 2_000, 8_000],
		perSize: 'pool',
		measure: pools => memoryOf(() => foldFleet({ ...base, pools })),
	},
	'state by teams': {
		sizes: [500, 2_000, 8_000],
		perSize: 'team',
		measure: teams => memoryOf(() => foldFleet({ ...base, teams })),
	},
	'state by keys': {
		sizes: [500, 2_000, 8_000],
		perSize: 'key',
		measure: keys => memoryOf(() => foldFleet({ ...base, keys })),
	},
	'waiting jobs with 256 bytes of payload': {
		sizes: [1_000, 5_000, 20_000],
		perSize: 'job',
		measure: jobs => memoryOf(() => foldJobs(jobs)),
	},
	'request keys': {
		sizes: [2_000, 20_000, 100_000],
		perSize: 'key',
		measure: keys => memoryOf(() => foldRequestKeys(keys)),
	},
	'one configuration change': {
		sizes: [2_000, 10_000, 20_000],
		perSize: 'worker of the fleet',
		measure: workers => costs(measureChange({ ...base, workers, pools: 251 })),
	},
	'one lease exchange': {
		sizes: [1, 20, 180],
		perSize: 'cell that the voter knows',
		measure: cells => costs(measureLease(cells)),
	},
	'one changed host list': {
		sizes: [2_000, 10_000, 20_000],
		perSize: 'worker of the list',
		measure: workers => costs(measureHostList(workers)),
	},
	'one worker status': {
		sizes: [35, 110, 220, 440],
		perSize: 'worker of the cell',
		measure: workers => costs(measureStatus(workers)),
	},
	'one grant and its end': {
		sizes: [35, 110, 220, 440],
		perSize: 'worker of the cell',
		measure: workers => costs(measureGrant(workers)),
	},
	'start from a snapshot': {
		sizes: [5_000, 10_000, 20_000],
		perSize: 'worker of the fleet',
		measure: workers => costs(measureStart(workers)),
	},
};

const options = await yargs(hideBin(process.argv))
	.options({
		output: { type: 'string', describe: 'file for the figures as JSON' },
		repeats: { type: 'number', default: 3, describe: 'processes per size' },
		rows: { type: 'string', array: true, describe: 'quantities to measure; all when left out' },
		only: { type: 'string', hidden: true },
		size: { type: 'number', hidden: true },
	})
	.strict()
	.parse();

if (options.only !== undefined && options.size !== undefined) {
	// A child measures one point and prints it.
	process.stdout.write(JSON.stringify(quantities[options.only]?.measure(options.size)));
} else {
	const selected = Object.entries(quantities).filter(([name]) => options.rows?.includes(name) ?? true);
	const rows = selected.flatMap(([name, { sizes, perSize }]) => {
		const points = sizes.flatMap(size =>
			Array.from({ length: options.repeats }, () => {
				const child = [fileURLToPath(import.meta.url), '--only', name, '--size', `${size}`];
				const text = execFileSync(process.execPath, child, { encoding: 'utf8' });
				return { size, values: JSON.parse(text) as Readonly<Record<string, number>> };
			}),
		);
		return Object.keys(points[0]?.values ?? {}).map(unit => {
			const unitPoints: CapacityPoint[] = points.map(({ size, values }) => ({ size, value: values[unit] ?? 0 }));
			return { name, unit, perSize, points: unitPoints, fit: fitLine(unitPoints) };
		});
	});
	const number = (value: number): string => value.toPrecision(4);
	process.stdout.write(
		'| Quantity | Unit | At size: values | Slope | Error of the slope | At size 0 |\n|---|---|---|---|---|---|\n',
	);
	for (const { name, unit, perSize, points, fit } of rows) {
		const bySize = [...new Set(points.map(({ size }) => size))].map(size => {
			const values = points.filter(point => point.size === size).map(({ value }) => number(value));
			return `${size}: ${values.join(', ')}`;
		});
		process.stdout.write(
			`| ${name} | ${unit} | ${bySize.join('; ')} | ${number(fit.slope)} per ${perSize} | ${number(fit.slopeError)} | ${number(fit.intercept)} |\n`,
		);
	}
	if (options.output !== undefined) {
		writeFileSync(options.output, `${JSON.stringify({ node: process.version, rows }, undefined, '\t')}\n`);
	}
}
