import type { ReplayFigures } from './measures.js';

/** Figures of one replay with what was replayed. */
export interface ExperimentRow {
	readonly desk: string;
	readonly scenario: string;
	readonly variant: string;
	readonly seed: number;
	/** Fewest moves that serve the demand. */
	readonly fewest: number;
	readonly figures: ReplayFigures;
}

const percent = (value: number): string => (value * 100).toFixed(1);
const seconds = (value: number): string => (value / 1_000).toFixed(2);

const columns: readonly (readonly [string, (row: ExperimentRow) => string | number])[] = [
	['desk', row => row.desk],
	['scenario', row => row.scenario],
	['variant', row => row.variant],
	[
		'share mean% 10s',
		({ figures }) => (figures.shareError10s.windows === 0 ? '-' : percent(figures.shareError10s.mean)),
	],
	['worst% 10s', ({ figures }) => (figures.shareError10s.windows === 0 ? '-' : percent(figures.shareError10s.worst))],
	['mean% 60s', ({ figures }) => (figures.shareError60s.windows === 0 ? '-' : percent(figures.shareError60s.mean))],
	['worst% 60s', ({ figures }) => (figures.shareError60s.windows === 0 ? '-' : percent(figures.shareError60s.worst))],
	['urgent p50 s', ({ figures }) => seconds(figures.urgentP50)],
	['p99 s', ({ figures }) => seconds(figures.urgentP99)],
	['worst s', ({ figures }) => seconds(figures.urgentWorst)],
	['urgent dropped', ({ figures }) => droppedOf(figures, true)],
	['late', ({ figures }) => figures.late],
	['dropped', ({ figures }) => droppedOf(figures, false)],
	['retries', ({ figures }) => figures.retries],
	['failed', ({ figures }) => figures.failed],
	['completed', ({ figures }) => figures.completed],
	['buffer', ({ figures }) => figures.bufferSlots.toFixed(1)],
	['idle+waiting', ({ figures }) => figures.idleWhileWaitingSlots.toFixed(1)],
	['moves/fewest', ({ figures, fewest }) => `${figures.moves}/${fewest}`],
	['checkpoints', ({ figures }) => figures.checkpoints],
	['lost work s', ({ figures }) => seconds(figures.lostWorkMs)],
	['set aside', ({ figures }) => figures.setAsides],
	['us/decision', ({ figures }) => figures.decisionMicroseconds.toFixed(0)],
];

function droppedOf(figures: ReplayFigures, urgent: boolean): number {
	return Object.entries(figures.dropped)
		.filter(([label]) => label.startsWith('urgent ') === urgent)
		.reduce((sum, [, count]) => sum + count, 0);
}

/** The rows as a Markdown table. */
export function experimentTable(rows: readonly ExperimentRow[]): string {
	const lines = rows.map(row => columns.map(([, value]) => String(value(row))));
	const table = [columns.map(([title]) => title), columns.map(() => '---'), ...lines];
	return table.map(cells => `| ${cells.join(' | ')} |`).join('\n');
}
