import { writeFileSync } from 'node:fs';
import type { ReleaseNote } from '@chestnutwheel/configuration/common/controlRecord.js';
import type { AvailabilityBudget } from '@chestnutwheel/configuration/common/fleetState.js';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { lowerBoundMs, simulateWave, type WaveFault, type WaveSimulation } from '../common/waveSimulation.js';
import { barleyDesk, createDeskNote, speechwritingDesk, type DeskShape } from './fleet/deskNote.js';

const options = await yargs(hideBin(process.argv))
	.options({
		seed: { type: 'number', default: 20261204, describe: 'seed of the simulated delays' },
		'drain-seconds': { type: 'number', default: 30, describe: 'time from the drain until nothing runs' },
		'reboot-seconds': { type: 'number', default: 240, describe: 'time from the reboot until the host answers' },
		output: { type: 'string', describe: 'file for the figures as JSON' },
	})
	.strict()
	.parse();
const drainMs = options.drainSeconds * 1_000;
const rebootMs = options.rebootSeconds * 1_000;

interface Shape {
	readonly name: string;
	readonly cell: string;
	readonly note: ReleaseNote;
}

const withBudget = (note: ReleaseNote, budget: AvailabilityBudget): ReleaseNote => ({
	...note,
	added: { ...note.added, pools: (note.added?.pools ?? []).map(pool => ({ ...pool, budget })) },
});
const deskNote = (desk: DeskShape, workers: number): ReleaseNote =>
	createDeskNote(
		[desk],
		Array.from({ length: workers }, (_, index) => ({
			host: `${desk.cell}-${index}`,
			address: `http://10.0.${index >> 8}.${index & 255}:7000`,
		})),
		[],
	);
const shapes: readonly Shape[] = [
	{ name: 'speechwriting, budget 2, 1 a data centre', cell: 'speechwriting', note: deskNote(speechwritingDesk, 35) },
	{ name: 'barley, budget 2, 1 a data centre', cell: 'barley', note: deskNote(barleyDesk, 35) },
	{ name: 'barley, budget 3', cell: 'barley', note: withBudget(deskNote(barleyDesk, 35), { maximumUnavailable: 3 }) },
	{
		name: 'cell of 110 workers, budget 4',
		cell: 'barley',
		note: withBudget(deskNote(barleyDesk, 110), { maximumUnavailable: 4 }),
	},
];

// The rack is the second one, so its hosts wait when it is lost; each desk spreads a rack over four pools.
const rack = [4, 5, 6, 7];
const faultSets: readonly { readonly name: string; readonly faults: readonly WaveFault[] }[] = [
	{ name: 'none', faults: [] },
	{ name: 'a host is lost for 10 min', faults: [{ kind: 'hosts-fail', at: 200_000, forMs: 600_000, hosts: [9] }] },
	{ name: 'a rack is lost for 10 min', faults: [{ kind: 'hosts-fail', at: 200_000, forMs: 600_000, hosts: rack }] },
	{ name: 'a reboot takes 15 min longer', faults: [{ kind: 'reboot-hangs', forMs: 900_000, hosts: [3] }] },
	{ name: 'the log is out for 5 min', faults: [{ kind: 'log-out', at: 250_000, forMs: 300_000 }] },
	{ name: 'the leader changes during reboots', faults: [{ kind: 'leader-changes', at: 150_000 }] },
];

const simulationOf = (shape: Shape, claimedPollMs: number, faults: readonly WaveFault[]): WaveSimulation => ({
	cell: shape.cell,
	note: shape.note,
	seed: options.seed,
	drainMs,
	rebootMs,
	claimedPollMs,
	pollMs: 5_000,
	listLagMs: 2_000,
	foldWithinMs: 500,
	faults,
	endAt: 40 * 3_600_000,
});
/** One host at a time: the same hosts in a single pool with a budget of one. */
const oneAtATime = (note: ReleaseNote): ReleaseNote => ({
	...note,
	added: {
		pools: (note.added?.pools ?? [])
			.slice(0, 1)
			.map(pool => ({ ...pool, name: 'all', budget: { maximumUnavailable: 1 } })),
		hosts: (note.added?.hosts ?? []).map(host => ({ ...host, pool: 'all' })),
	},
});

const rows = shapes.flatMap(shape => {
	const lowerMs = lowerBoundMs(shape.note, drainMs, rebootMs);
	// The run of a large cell with one host at a time takes minutes and shows nothing more.
	const isSmall = (shape.note.added?.hosts ?? []).length <= 40;
	const baseline = isSmall
		? simulateWave(simulationOf({ ...shape, note: oneAtATime(shape.note) }, 1_000, []))
		: undefined;
	return faultSets.flatMap(({ name, faults }) =>
		(faults.length === 0 ? [1_000, 5_000] : [1_000]).map(claimedPollMs => {
			const result = simulateWave(simulationOf(shape, claimedPollMs, faults));
			return {
				shape: shape.name,
				faults: name,
				claimedPollSeconds: claimedPollMs / 1_000,
				lowerBoundSeconds: lowerMs / 1_000,
				rollOutSeconds: result.rollOutMs / 1_000,
				ratio: result.rollOutMs / lowerMs,
				oneAtATimeSeconds: baseline === undefined ? undefined : baseline.rollOutMs / 1_000,
				...result,
			};
		}),
	);
});

process.stdout.write(
	'| Shape | Faults | Poll of claimed hosts (s) | Lower bound (s) | Roll-out (s) | Ratio | One at a time (s) | Its ratio | Reboots | Stops | Refused claims |\n' +
		'|---|---|---|---|---|---|---|---|---|---|---|\n',
);
for (const row of rows) {
	const cells = [
		row.shape,
		row.faults,
		row.claimedPollSeconds,
		row.lowerBoundSeconds,
		row.finished ? row.rollOutSeconds : 'not finished',
		row.ratio.toFixed(3),
		row.oneAtATimeSeconds ?? 'not run',
		row.oneAtATimeSeconds === undefined ? 'not run' : (row.oneAtATimeSeconds / row.lowerBoundSeconds).toFixed(2),
		row.reboots,
		row.stops,
		row.refusedClaims,
	];
	process.stdout.write(`| ${cells.join(' | ')} |\n`);
}
if (options.output !== undefined) {
	writeFileSync(
		options.output,
		`${JSON.stringify({ seed: options.seed, drainMs, rebootMs, rows }, undefined, '\t')}\n`,
	);
}
