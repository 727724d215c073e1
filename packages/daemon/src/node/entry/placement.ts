import type { Clock } from '@chestnutwheel/base/common/clock.js';
import { kindError, errorKindOf } from '@chestnutwheel/base/common/kindError.js';
import type { SeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { Grant } from '@chestnutwheel/dispatch/common/dispatchMessages.js';
import type { WorkRequest, WorkResponse } from '../../common/peerProtocol.js';
import type { CellCalls } from '../peers/cellCalls.js';

/** What a placement asks for; the time left is worked out at every call. */
export type PlacementQuestion = Omit<WorkRequest, 'remainingMs'> & {
	readonly deadline: number;
	readonly signal: AbortSignal;
};

/** Asks the leader of a cell for grants. */
export interface Placement {
	/**
	 * Asks until the leader grants or refuses, across changes of the leader.
	 * @throws the leader's refusal, `deadline-passed`, `no-leader` or `cancelled`; in each case nothing was started
	 */
	ask(question: PlacementQuestion): Promise<Grant>;
}

/** Bounds of the random pause before the next question when no leader answers. */
const PAUSE_MINIMUM_MS = 20;
const PAUSE_RANGE_MS = 60;

/** Creates the asking side of placement. */
export function createPlacement(calls: CellCalls, clock: Clock, random: SeededRandom): Placement {
	const askOnce = async (question: PlacementQuestion): Promise<WorkResponse> => {
		const { deadline, signal, ...fields } = question;
		try {
			return await calls.toLeader(question.cell, 'work.request', { ...fields, remainingMs: deadline - clock.now() });
		} catch (error) {
			await delay(PAUSE_MINIMUM_MS + random.next() * PAUSE_RANGE_MS, signal);
			return { state: 'refused', kind: 'no-leader', reason: errorKindOf(error) };
		}
	};

	const cancel = (question: PlacementQuestion): void => {
		const { cell, onlyOnce, requestId } = question;
		calls.toLeader(cell, 'work.cancel', { cell, requestId, onlyOnce }).catch(() => {
			// The leader drops the request at its deadline.
		});
	};

	return {
		ask: async question => {
			let sawLeader = false;
			for (;;) {
				if (question.signal.aborted) {
					cancel(question);
					throw kindError('cancelled', 'the caller has gone');
				}
				if (clock.now() >= question.deadline) {
					cancel(question);
					throw sawLeader
						? kindError('deadline-passed', 'the deadline passed while the request waited for a slot')
						: kindError('no-leader', `no leader of the cell ${question.cell} answered before the deadline`);
				}
				const response = await askOnce(question);
				if (response.state === 'granted') {
					return response.grant;
				}
				const isLeaderGone = response.state === 'refused' && response.kind === 'no-leader';
				sawLeader = !isLeaderGone;
				if (response.state === 'refused' && !isLeaderGone) {
					throw kindError(response.kind, response.reason);
				}
			}
		},
	};
}
