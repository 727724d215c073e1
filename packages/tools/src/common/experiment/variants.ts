import { createSeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import type { Dispatcher } from '@chestnutwheel/dispatch/common/dispatchMessages.js';
import type { DispatchPolicy } from '@chestnutwheel/dispatch/common/dispatchPolicy.js';
import { createDispatcher } from '@chestnutwheel/dispatch/common/dispatcher.js';
import { createBaseline } from './baselines.js';
import { DESK_CELL } from './deskShape.js';

/** One policy that a trace is replayed through. */
export interface Variant {
	readonly name: string;
	create(seed: number): Dispatcher;
}

const withPolicy = (name: string, policy: Partial<DispatchPolicy>): Variant => ({
	name,
	create: seed => createDispatcher({ cell: DESK_CELL, random: createSeededRandom(seed), policy }),
});

/** The dispatcher as it is, and the plain baselines. */
export const comparedVariants: readonly Variant[] = [
	withPolicy('dispatcher', {}),
	{ name: 'static-split', create: () => createBaseline('static-split') },
	{ name: 'first-come', create: () => createBaseline('first-come') },
	{ name: 'fewest-running', create: () => createBaseline('fewest-running') },
];

/** The dispatcher with one mechanism off or changed. */
export const ablationVariants: readonly Variant[] = [
	withPolicy('no-checkpoints', { checkpoints: false }),
	withPolicy('headroom-1/16', { headroomFraction: 1 / 16, checkpoints: false }),
	withPolicy('headroom-1/8', { headroomFraction: 1 / 8, checkpoints: false }),
	withPolicy('both-1/16', { headroomFraction: 1 / 16 }),
	withPolicy('urgent-by-team-lead', { urgentBound: 'team-lead' }),
	withPolicy('no-lending', { lending: false }),
	withPolicy('no-failure-load', { failureLoad: 0 }),
	withPolicy('no-set-aside', { setAside: false }),
	withPolicy('no-health', { setAside: false, failureLoad: 0 }),
	withPolicy('no-credit-bound', { creditMs: 1e9, debtMs: 1e9 }),
	withPolicy('no-debt-bound', { debtMs: 1e9 }),
	withPolicy('no-host-moves', { hostMoves: false }),
	withPolicy('no-projection', { projectionMs: 0 }),
	withPolicy('projection-0.5s', { projectionMs: 500 }),
];
