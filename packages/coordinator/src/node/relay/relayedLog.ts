import type { AppendOutcome, LogService } from '@chestnutwheel/ports/common/logService.js';
import { decodeNewestOutcome, decodeReadOutcome, encodeBytes } from '../../common/relayCodec.js';
import type { StoreRelay } from './storeRelay.js';

/** Timeout of relayed calls that name none. */
const DEFAULT_TIMEOUT_MS = 1_500;

/** Time that a relayed call takes between the daemons, in addition to its time at the store. */
const RELAY_MARGIN_MS = 100;

const isUnserved = (outcome: AppendOutcome): boolean => outcome.type === 'refused' || outcome.type === 'unknown';

/**
 * Combines the outcomes of two attempts of one append. An attempt with an unknown outcome may still be stored, whatever the
 * store answers to the other.
 */
function combineOutcomes(first: AppendOutcome | undefined, second: AppendOutcome): AppendOutcome {
	return first?.type === 'unknown' && second.type === 'refused' ? first : second;
}

/** Creates a log whose calls go through a follower while the store does not serve this daemon. */
export function createRelayedLog(log: LogService, relay: StoreRelay): LogService {
	const relayAppend = async (
		...[topic, records, conditions]: Parameters<LogService['append']>
	): Promise<AppendOutcome> => {
		const timeoutMs = (conditions.answerWithinMs ?? DEFAULT_TIMEOUT_MS) + RELAY_MARGIN_MS;
		const parameters = { topic, records: records.map(encodeBytes), conditions };
		const answer = await relay.call('store.append', parameters, timeoutMs);
		if (answer.type === 'answered') {
			relay.relayServed(!isUnserved(answer.result.outcome));
			return answer.result.outcome;
		}
		return { type: answer.type === 'no-relay' ? 'refused' : 'unknown', reason: 'no follower relayed the append' };
	};

	return {
		...log,
		append: async (topic, records, conditions, signal) => {
			let direct: AppendOutcome | undefined;
			if (relay.isDirect) {
				direct = await log.append(topic, records, conditions, signal);
				if (!isUnserved(direct) || signal.aborted) {
					return direct;
				}
				relay.directCallFailed();
				if (direct.type === 'unknown' && conditions.writer === undefined) {
					// Without a sequence number, a repeat of an append that was stored would be stored again or fail its condition.
					return direct;
				}
			}
			return combineOutcomes(direct, await relayAppend(topic, records, conditions, signal));
		},
		read: async (topic, from, waitMs, signal) => {
			if (relay.isDirect) {
				const direct = await log.read(topic, from, waitMs, signal);
				if (direct.type !== 'failed' || signal.aborted) {
					return direct;
				}
				relay.directCallFailed();
			}
			const answer = await relay.call('store.read', { topic, from, waitMs }, waitMs + DEFAULT_TIMEOUT_MS);
			if (answer.type !== 'answered') {
				return { type: 'failed', reason: 'no follower relayed the read' };
			}
			relay.relayServed(answer.result.outcome.type !== 'failed');
			return decodeReadOutcome(answer.result.outcome);
		},
		newest: async (topic, signal) => {
			if (relay.isDirect) {
				const direct = await log.newest(topic, signal);
				if (direct.type !== 'failed' || signal.aborted) {
					return direct;
				}
				relay.directCallFailed();
			}
			const answer = await relay.call('store.newest', { topic }, DEFAULT_TIMEOUT_MS);
			if (answer.type !== 'answered') {
				return { type: 'failed', reason: 'no follower relayed the read' };
			}
			relay.relayServed(answer.result.outcome.type !== 'failed');
			return decodeNewestOutcome(answer.result.outcome);
		},
	};
}
