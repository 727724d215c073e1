import type { ErrorKind } from '@chestnutwheel/base/common/errorKinds.js';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createBurnRecorder, type BurnPart, type BurnRecorder } from '../common/burnRecorder.js';
import { createBurnReport, forTeam, type BurnReport } from '../common/burnReport.js';
import { burnReportHtml } from '../common/burnReportHtml.js';
import { burnReportText } from '../common/burnReportText.js';

const objective = { latencyMs: 100, target: 0.99 };
const objectives = { draft: objective, edit: objective };
const MINUTE = 60_000;
const record = (
	recorder: BurnRecorder,
	now: number,
	count: number,
	failure?: ErrorKind,
	latencyMs = 10,
	team: string | undefined = 'north',
	queue = 'draft',
): void => {
	for (let index = 0; index < count; index++) {
		recorder.record({ team, queue, latencyMs, failure }, objective, now);
	}
};
const reportOf = (...parts: readonly BurnPart[]): BurnReport => createBurnReport(parts, objectives);

describe('burn report', () => {
	it('counts errors and slow requests as bad, and leaves out what the caller did wrong', () => {
		const recorder = createBurnRecorder();
		record(recorder, 0, 96);
		record(recorder, 0, 2, 'queue-full');
		record(recorder, 0, 2, undefined, 101);
		record(recorder, 0, 50, 'bad-request');
		recorder.record({ team: 'north', queue: 'draft', latencyMs: 1, failure: undefined }, undefined, 0);
		const [series] = reportOf(recorder.part(0)).series;
		expect(series?.windows['5 min']).toMatchObject({ good: 96, bad: 4, causes: { 'queue-full': 2, slow: 2 } });
		expect(series?.windows['5 min'].burn).toBeCloseTo(4);
		expect(series?.budgetLeft).toBeCloseTo(-3);
		expect(series?.causes.map(({ cause, fraction }) => [cause, fraction])).toEqual([
			['queue-full', 0.5],
			['slow', 0.5],
		]);
	});

	it('raises the fast alarm only while both windows burn, so that it ends soon after the fault', () => {
		const recorder = createBurnRecorder();
		for (let minute = 0; minute < 60; minute++) {
			record(recorder, minute * MINUTE, 10);
			record(recorder, minute * MINUTE, 10, 'endpoint-failed');
		}
		expect(reportOf(recorder.part(59 * MINUTE)).series[0]?.burning).toEqual(['fast', 'slow']);
		for (let minute = 60; minute < 66; minute++) {
			record(recorder, minute * MINUTE, 20);
		}
		expect(reportOf(recorder.part(65 * MINUTE)).series[0]?.burning).toEqual(['slow']);
	});

	it('forgets minutes that are older than the longest window, also after a long silence', () => {
		const recorder = createBurnRecorder();
		record(recorder, 0, 5, 'internal');
		record(recorder, 4_319 * MINUTE, 1);
		expect(reportOf(recorder.part(4_319 * MINUTE)).series[0]?.windows['3 d'].bad).toBe(5);
		expect(reportOf(recorder.part(4_320 * MINUTE)).series[0]?.windows['3 d']).toMatchObject({ good: 1, bad: 0 });
		record(recorder, 9_000 * MINUTE, 1);
		expect(reportOf(recorder.part(9_000 * MINUTE)).series[0]?.windows['3 d']).toMatchObject({ good: 1, bad: 0 });
	});

	it('agrees with a plain count for any sequence of requests', () => {
		const events = fc.array(fc.tuple(fc.nat(6_000), fc.boolean()), { maxLength: 200 });
		fc.assert(
			fc.property(events, fc.nat(1_500), (unsorted, later) => {
				const sorted = [...unsorted].sort(([left], [right]) => left - right);
				const recorder = createBurnRecorder();
				sorted.forEach(([minute, bad]) => record(recorder, minute * MINUTE, 1, bad ? 'internal' : undefined));
				const end = (sorted.at(-1)?.[0] ?? 0) + later;
				const windows = reportOf(recorder.part(end * MINUTE)).series[0]?.windows;
				for (const [name, minutes] of [
					['5 min', 5],
					['1 h', 60],
					['6 h', 360],
					['3 d', 4_320],
				] as const) {
					const inside = sorted.filter(([minute]) => minute > end - minutes);
					expect(windows?.[name].bad ?? 0).toBe(inside.filter(([, bad]) => bad).length);
					expect(windows?.[name].good ?? 0).toBe(inside.filter(([, bad]) => !bad).length);
				}
			}),
			{ seed: 20261204, numRuns: 200 },
		);
	});

	it('merges the parts of several daemons as if one had counted everything', () => {
		const [first, second, both] = [createBurnRecorder(), createBurnRecorder(), createBurnRecorder()];
		record(first, 0, 30, undefined, 5);
		record(second, 0, 10, 'endpoint-silent', 900);
		record(both, 0, 30, undefined, 5);
		record(both, 0, 10, 'endpoint-silent', 900);
		const parts = JSON.parse(JSON.stringify([first.part(0), second.part(0)])) as BurnPart[];
		expect(reportOf(...parts).series).toEqual(reportOf(both.part(0)).series);
		expect(reportOf(...parts).series[0]?.latency?.count).toBe(40);
	});

	it('shows nothing of one team in the view of another', () => {
		const recorder = createBurnRecorder();
		record(recorder, 0, 5, 'internal', 10, 'north');
		record(recorder, 0, 7, 'queue-full', 10, 'rival-agency');
		recorder.record({ team: undefined, queue: 'edit', latencyMs: 1, failure: undefined }, objective, 0);
		const view = forTeam(reportOf(recorder.part(0)), 'north');
		expect(view.series).toHaveLength(1);
		for (const text of [JSON.stringify(view), burnReportText(view), burnReportHtml(view)]) {
			expect(text).not.toMatch(/rival|queue-full|edit|refused|Not counted/);
		}
	});

	it('refuses new series beyond its bound and counts what it left out', () => {
		const recorder = createBurnRecorder();
		for (let index = 0; index < 515; index++) {
			record(recorder, 0, 1, undefined, 10, `team-${index}`);
		}
		const report = reportOf(recorder.part(0));
		expect(report.series).toHaveLength(512);
		expect(report.refused).toBe(3);
		record(recorder, 5_000 * MINUTE, 1, undefined, 10, 'later');
		expect(reportOf(recorder.part(5_000 * MINUTE)).series.map(series => series.team)).toEqual(['later']);
	});

	it('writes a page without scripts, references or unescaped names, and says the alarm in words', () => {
		const recorder = createBurnRecorder();
		record(recorder, 0, 10, 'internal', 10, '<b>&"team');
		const page = burnReportHtml(reportOf(recorder.part(0)));
		expect(page).toContain('&lt;b&gt;&amp;&quot;team');
		expect(page).not.toMatch(/<script|<b>|https?:|url\(|<link|<img/);
		expect(page).toContain('<svg');
		expect(page).toContain('fast burn, slow burn');
		expect(burnReportText(reportOf(recorder.part(0)))).toContain('burnt by     internal 10 (100 %)');
	});
});
