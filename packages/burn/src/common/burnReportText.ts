import type { BurnReport, BurnSeries } from './burnReport.js';
import { burnWindows, type BurnWindowName } from './burnWindows.js';

const windowNames = Object.keys(burnWindows) as BurnWindowName[];

/** The name of a series as people read it. */
export function seriesTitle({ team, queue }: Pick<BurnSeries, 'team' | 'queue'>): string {
	return `${team ?? '(open)'} / ${queue}`;
}

/** The objective in one phrase. */
export function objectiveText({ objective }: BurnSeries): string {
	return `${(objective.target * 100).toFixed(3).replace(/\.?0+$/, '')} % within ${objective.latencyMs} ms`;
}

/** The causes in one phrase. */
export function causesText({ causes }: BurnSeries): string {
	return causes.length === 0
		? 'nothing'
		: causes.map(({ cause, count, fraction }) => `${cause} ${count} (${(fraction * 100).toFixed(0)} %)`).join(', ');
}

/** Which alarms burn, in one phrase. */
export function alarmText({ burning }: BurnSeries): string {
	return burning.length === 0 ? 'no alarm' : burning.map(name => `${name} burn`).join(', ');
}

/** The report as plain text, a few lines per team and queue. */
export function burnReportText(report: BurnReport): string {
	if (report.series.length === 0) {
		return 'no requests were counted against an objective in the last 3 days\n';
	}
	const lines = report.series.flatMap(series => [
		`${seriesTitle(series)}: ${alarmText(series)}`,
		`  objective    ${objectiveText(series)}`,
		`  budget left  ${(series.budgetLeft * 100).toFixed(1)} % of 3 d`,
		`  burn         ${windowNames.map(name => `${name} ${series.windows[name].burn.toFixed(2)}`).join('   ')}`,
		`  burnt by     ${causesText(series)}`,
		...(series.latency === undefined
			? []
			: [`  latency      p50 ${series.latency.p50.toFixed(1)} ms   p99 ${series.latency.p99.toFixed(1)} ms`]),
	]);
	const notCounted =
		(report.refused ?? 0) > 0 ? [`not counted: ${report.refused ?? 0} requests (too many series)`] : [];
	return `${[...lines, ...notCounted, `counted by ${report.daemons} daemon(s)`].join('\n')}\n`;
}
