import type { JobSpec } from '@chestnutwheel/ports/common/jobSpec.js';
import type { RunEnd } from '@chestnutwheel/ports/common/workerService.js';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { JournalEvent } from '../common/jobs/journalEvent.js';
import { harnessJob, harnessStep } from './engineHarness.js';
import { describeJobs, leadJournal, readRecords, type JournalLeader } from './journalHistory.js';

const specs: readonly JobSpec[] = [
	harnessJob(harnessStep({ count: 2 })),
	harnessJob(harnessStep({ count: 1 }), harnessStep({ count: 2, after: [0] })),
	harnessJob(harnessStep({ count: 1, allowsCopies: true })),
	harnessJob(harnessStep({ count: 1, allowsCopies: true })),
	harnessJob(harnessStep({ count: 1, isLasting: true })),
	harnessJob(harnessStep({ count: 2, isGang: true })),
	harnessJob(harnessStep({ count: 2, isGang: true })),
	{ ...harnessJob(harnessStep({ count: 1 })), repeats: 3, firstDueAt: 1_000, intervalMs: 700 },
];

/** A step of a history. `take-over` continues with a successor, which reads the journal from any offset that may be its first. */
type Step =
	| { readonly type: 'submit'; readonly spec: number }
	| { readonly type: 'start' | 'copy' | 'drop' | 'cancel' | 'take-over'; readonly pick: number }
	| { readonly type: 'end'; readonly pick: number; readonly end: RunEnd }
	| { readonly type: 'advance'; readonly milliseconds: number }
	| { readonly type: 'store'; readonly batches: number };

const pick = fc.nat(30);
const step: fc.Arbitrary<Step> = fc.oneof(
	{ weight: 4, arbitrary: fc.record({ type: fc.constant('submit' as const), spec: fc.nat(specs.length - 1) }) },
	{ weight: 6, arbitrary: fc.record({ type: fc.constant('start' as const), pick }) },
	{ weight: 4, arbitrary: fc.record({ type: fc.constantFrom('copy' as const, 'drop' as const), pick }) },
	{ weight: 3, arbitrary: fc.record({ type: fc.constant('cancel' as const), pick }) },
	{
		weight: 5,
		arbitrary: fc.record({
			type: fc.constant('end' as const),
			pick,
			end: fc.constantFrom<RunEnd>('done', 'done', 'failed', 'failed', 'stopped'),
		}),
	},
	{
		weight: 5,
		arbitrary: fc.record({ type: fc.constant('advance' as const), milliseconds: fc.integer({ min: 100, max: 1_500 }) }),
	},
	{
		weight: 12,
		arbitrary: fc.record({ type: fc.constant('store' as const), batches: fc.integer({ min: 1, max: 5 }) }),
	},
	{ weight: 1, arbitrary: fc.record({ type: fc.constant('take-over' as const), pick: fc.nat(1_000) }) },
);

const stepHandlers: {
	readonly [Type in Exclude<Step['type'], 'submit' | 'take-over'>]: (
		leader: JournalLeader,
		step: Extract<Step, { type: Type }>,
	) => void;
} = {
	start: (leader, { pick: number }) => leader.start(number, false),
	copy: (leader, { pick: number }) => leader.start(number, true),
	drop: (leader, { pick: number }) => leader.drop(number),
	cancel: (leader, { pick: number }) => leader.cancel(number),
	end: (leader, { pick: number, end }) => leader.end(number, end),
	advance: (leader, { milliseconds }) => leader.advance(milliseconds),
	store: (leader, { batches }) => leader.store(batches),
};

describe('the journal of leaders that accept, start, end, cancel, forget and rewrite jobs', () => {
	// A successor that reads less or other state than the whole journal holds starts what was cancelled, or ends what runs.
	it('tells every successor the same of each job, from whichever retained offset it reads', () => {
		fc.assert(
			fc.property(fc.array(step, { minLength: 80, maxLength: 250, size: 'max' }), steps => {
				const records: JournalEvent[][] = [];
				let term = 1;
				let now = 1_000;
				let jobs = 0;
				let trimOffset = 0;
				let leader = leadJournal(records, 0, term, now);
				const checkReaders = (): void => {
					trimOffset = Math.max(trimOffset, leader.trimOffset());
					const whole = describeJobs(readRecords(records, 0, now));
					const { jobs: known, lastStoredBatch } = leader.context;
					for (let first = 1; first <= trimOffset; first++) {
						expect(describeJobs(readRecords(records, first, now))).toEqual(whole);
					}
					for (const { accepted, acceptedBatch, visibleState } of known.all()) {
						if (acceptedBatch <= lastStoredBatch) {
							expect(whole[accepted.id]?.state).toBe(visibleState);
						}
					}
				};
				for (const action of steps) {
					if (action.type === 'submit') {
						leader.submit(`job${jobs++}`, specs[action.spec] ?? harnessJob());
					} else if (action.type === 'take-over') {
						checkReaders();
						leader = leadJournal(records, action.pick % (trimOffset + 1), ++term, now);
					} else {
						(stepHandlers[action.type] as (leader: JournalLeader, action: Step) => void)(leader, action);
						now += action.type === 'advance' ? action.milliseconds : 0;
					}
				}
				checkReaders();
			}),
			// Shrinking such long histories takes longer than the time limit of a test.
			{ seed: 7, numRuns: 80, endOnFailure: true },
		);
	});
});
