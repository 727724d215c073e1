import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { ViewReport } from '../common/leaseMessages.js';
import { createViewFreshness, NEVER_CONFIRMED_MS } from '../common/viewFreshness.js';

const names = ['a', 'b', 'c'];
const report = (logReadable: boolean, configurationOffset = 5, viewAgeMs = NEVER_CONFIRMED_MS): ViewReport => ({
	configurationOffset,
	viewAgeMs,
	logReadable,
});

describe('view freshness', () => {
	it('measures the age of a read from its send time, not from its end', () => {
		const view = createViewFreshness({ offset: 5 });
		view.readConfirmed(5, 1_000);
		view.peerReported('b', report(true), 4_990, 4_995);
		expect(view.mayServe(5_000, names, 'a')).toEqual({ allowed: true });
		expect(view.mayServe(5_001, names, 'a')).toMatchObject({ allowed: false, reason: 'view-too-old' });
	});

	it('refuses work without reports from a majority of the entry hosts within 2 s', () => {
		const view = createViewFreshness({ offset: 5 });
		view.readConfirmed(5, 3_000);
		view.peerReported('b', report(true), 1_000, 1_001);
		expect(view.mayServe(3_000, names, 'a')).toEqual({ allowed: true });
		expect(view.mayServe(3_001, names, 'a')).toMatchObject({ reason: 'majority-not-heard', kind: 'not-a-member' });
		expect(view.mayServe(3_000, ['b', 'c'], 'a')).toMatchObject({ reason: 'not-an-entry-host' });
	});

	it('takes the age of a view from a peer, but not from one at a higher offset', () => {
		const view = createViewFreshness({ offset: 5 });
		view.peerReported('b', report(true, 6, 0), 100, 101);
		expect(view.mayServe(101, names, 'a')).toMatchObject({ reason: 'view-too-old' });
		view.peerReported('b', report(true, 5, 500), 1_000, 1_001);
		expect(view.mayServe(1_001, names, 'a')).toEqual({ allowed: true });
		expect(view.report(1_000).viewAgeMs).toBeCloseTo(510);
	});

	it('refuses work if a higher offset of a peer stays unread for more than 4 s', () => {
		const view = createViewFreshness({ offset: 5 });
		view.peerOffsetReceived(7, 1_000);
		const serveAt = (now: number) => {
			view.readConfirmed(5, now);
			view.peerReported('b', report(true, 5), now, now);
			return view.mayServe(now, names, 'a');
		};
		expect(serveAt(5_000)).toEqual({ allowed: true });
		expect(serveAt(5_001)).toMatchObject({ reason: 'behind-peer', kind: 'stale-configuration' });
		view.folded(7);
		expect(serveAt(5_002)).toEqual({ allowed: true });
	});

	it('accepts work in a log outage while a majority reports and none of it can read the log', () => {
		const view = createViewFreshness({ offset: 5 });
		view.readConfirmed(5, 0);
		view.readFailed();
		view.peerReported('b', report(false), 9_900, 9_950);
		expect(view.mayServe(10_000, names, 'a')).toEqual({ allowed: true });
	});

	it('needs no majority while the leader is in contact, except in a log outage', () => {
		const view = createViewFreshness({ offset: 5 });
		view.readConfirmed(5, 1_000);
		view.leaderContacted(1_000);
		expect(view.mayServe(3_000, names, 'a')).toEqual({ allowed: true });
		expect(view.mayServe(3_001, names, 'a')).toMatchObject({ reason: 'majority-not-heard' });
		view.readFailed();
		view.leaderContacted(9_000);
		expect(view.mayServe(9_000, names, 'a')).toMatchObject({ reason: 'view-too-old' });
	});

	it('accepts work for 1.5 s after a peer reads the log again, so that the end of an outage refuses none', () => {
		const view = createViewFreshness({ offset: 5 });
		view.readConfirmed(5, 0);
		view.readFailed();
		view.peerReported('b', report(false), 9_900, 9_950);
		expect(view.mayServe(10_000, names, 'a')).toEqual({ allowed: true });
		view.peerReported('c', report(true), 10_100, 10_110);
		expect(view.mayServe(11_500, names, 'a')).toEqual({ allowed: true });
		expect(view.mayServe(11_501, names, 'a')).toMatchObject({ reason: 'view-too-old' });
	});

	it('grants no grace period if the view expired while a peer could read the log', () => {
		const view = createViewFreshness({ offset: 5 });
		view.readConfirmed(5, 0);
		view.readFailed();
		view.peerReported('b', report(true), 9_900, 9_950);
		expect(view.mayServe(10_000, names, 'a')).toMatchObject({ reason: 'view-too-old' });
	});

	it('refuses work under a view that was never confirmed, even in a log outage', () => {
		const view = createViewFreshness({ offset: -1 });
		view.readFailed();
		view.peerReported('b', report(false, -1), 10, 20);
		expect(view.mayServe(20, names, 'a')).toMatchObject({ reason: 'view-too-old' });
	});
});

describe('age of the view under delays', () => {
	const step = fc.record({
		afterMs: fc.integer({ min: 0, max: 1_500 }),
		kind: fc.constantFrom('append', 'read', 'read', 'ask', 'ask', 'ask'),
		daemon: fc.integer({ min: 0, max: 2 }),
		peer: fc.integer({ min: 0, max: 2 }),
		delayMs: fc.integer({ min: 0, max: 3_000 }),
	});

	/** Guards P3: with a readable log, work is accepted only under a state that was current at most 4 s earlier. */
	it.each([11, 12])('has applied every record readable 4 s earlier whenever it accepts work (seed %i)', seed => {
		let allowed = 0;
		fc.assert(
			fc.property(fc.array(step, { maxLength: 40 }), steps => {
				const appendedAt: number[] = [];
				const folded = [-1, -1, -1];
				const views = folded.map(() => createViewFreshness({ offset: -1 }));
				const plan: { at: number; run: (now: number) => void }[] = [];
				// This model has no log outage, in which older views would be allowed.
				views.forEach(view => view.readSucceeded());
				const foldTo = (daemon: number, offset: number): void => {
					folded[daemon] = Math.max(folded[daemon] ?? -1, offset);
				};
				let startAt = 0;
				for (const { afterMs, kind, daemon, peer, delayMs } of steps) {
					startAt += afterMs;
					const sentAt = startAt;
					const actions: Readonly<Record<string, (now: number) => void>> = {
						append: now => appendedAt.push(now),
						read: () => {
							const end = appendedAt.length - 1;
							plan.push({
								at: sentAt + delayMs,
								run: () => {
									foldTo(daemon, end);
									views[daemon]?.readConfirmed(end, sentAt);
								},
							});
						},
						ask: now => {
							const answer = views[peer]?.report(now);
							const name = names[peer];
							if (peer !== daemon && answer !== undefined && name !== undefined) {
								plan.push({
									at: sentAt + delayMs,
									run: later => views[daemon]?.peerReported(name, answer, sentAt, later),
								});
							}
						},
					};
					plan.push({ at: sentAt, run: now => actions[kind]?.(now) });
				}
				for (let next = takeFirst(plan); next !== undefined; next = takeFirst(plan)) {
					next.run(next.at);
					for (const [daemon, view] of views.entries()) {
						if (view.mayServe(next.at, names, names[daemon] ?? '').allowed) {
							allowed++;
							const readable = appendedAt.filter(at => at < next.at - 4_000).length - 1;
							expect(folded[daemon]).toBeGreaterThanOrEqual(readable);
						}
					}
				}
			}),
			{ seed, numRuns: 2_000 },
		);
		expect(allowed).toBeGreaterThan(500);
	});
});

function takeFirst<Item extends { readonly at: number }>(plan: Item[]): Item | undefined {
	const first = plan.reduce((best, item, index) => (item.at < (plan[best]?.at ?? Infinity) ? index : best), 0);
	return plan.splice(first, 1)[0];
}
