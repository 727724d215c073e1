import { readFileSync, writeFileSync } from 'node:fs';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { createDeskShape, type DeskName } from '../common/experiment/deskShape.js';
import { experimentTable, type ExperimentRow } from '../common/experiment/experimentTable.js';
import { createMeasures } from '../common/experiment/measures.js';
import { replay } from '../common/experiment/replay.js';
import { scenarios } from '../common/experiment/scenarios.js';
import { ablationVariants, comparedVariants } from '../common/experiment/variants.js';
import { fewestMoves, generateTrace, type TraceItem } from '../common/experiment/workload.js';

const processorMilliseconds = (): number => {
	const { user, system } = process.cpuUsage();
	return (user + system) / 1_000;
};

function readTrace(path: string): readonly TraceItem[] {
	return readFileSync(path, 'utf8')
		.split('\n')
		.filter(line => line !== '')
		.map(line => JSON.parse(line) as TraceItem);
}

const desks: readonly DeskName[] = ['speechwriting', 'barley'];
const variants = [...comparedVariants, ...ablationVariants];

const options = await yargs(hideBin(process.argv))
	.usage('experiment [options]\n\nReplays traces through the dispatcher and prints what users measure.')
	.option('seed', { type: 'number', default: 1, describe: 'seed of the generated traces' })
	.option('desk', { type: 'string', array: true, choices: desks, default: desks })
	.option('scenario', { type: 'string', array: true, choices: scenarios.map(({ name }) => name) })
	.option('variant', { type: 'string', array: true, choices: variants.map(({ name }) => name) })
	.option('ablation', { type: 'boolean', default: false, describe: 'also switch each mechanism off in turn' })
	.option('trace', { type: 'string', describe: 'replay this recorded trace (JSON lines) in place of generated ones' })
	.option('record', { type: 'string', describe: 'write the last trace as JSON lines to this file' })
	.option('output', { type: 'string', describe: 'write the figures as JSON to this file' })
	.strict()
	.parse();

const chosen = variants.filter(({ name }) =>
	options.variant === undefined
		? options.ablation || comparedVariants.some(other => other.name === name)
		: options.variant.includes(name),
);
const rows: ExperimentRow[] = [];
for (const desk of options.desk) {
	for (const scenario of scenarios.filter(({ name }) => options.scenario?.includes(name) ?? true)) {
		const shape = createDeskShape(desk, { isolateFirstQueue: scenario.isolatedLoad !== undefined });
		const trace = options.trace === undefined ? generateTrace(shape, scenario, options.seed) : readTrace(options.trace);
		if (options.record !== undefined) {
			writeFileSync(options.record, trace.map(item => `${JSON.stringify(item)}\n`).join(''));
		}
		const fewest = fewestMoves(shape, scenario);
		for (const variant of chosen) {
			const measures = createMeasures();
			const dispatcher = variant.create(options.seed);
			replay({ shape, scenario, trace, dispatcher, measures, seed: options.seed, stopwatch: processorMilliseconds });
			const figures = measures.figures(scenario.durationMs);
			rows.push({ desk, scenario: scenario.name, variant: variant.name, seed: options.seed, fewest, figures });
		}
	}
}
process.stdout.write(`${experimentTable(rows)}\n`);
if (options.output !== undefined) {
	writeFileSync(options.output, `${JSON.stringify(rows, undefined, '\t')}\n`);
}
