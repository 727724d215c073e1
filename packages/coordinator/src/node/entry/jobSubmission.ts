import { JOURNAL_STALL_MS, STALL_RETRY_MS } from '@chestnutwheel/engine/common/jobs/journalStall.js';
import type { Submission, SubmitDecision } from '@chestnutwheel/engine/common/engineMessages.js';
import type { PeerMethods } from '../../common/peerProtocol.js';
import type { LeaderTerm } from '../leader/leaderTerm.js';

const withdrawn: SubmitDecision = {
	type: 'refused',
	kind: 'log-unavailable',
	reason: 'the journal does not store the job at present',
	retryAfterMs: STALL_RETRY_MS,
};

/**
 * Submits a job on the leader. The answer is given once the acceptance is stored, or once it is certain that no record of the
 * job will be: a caller whose job was withdrawn is refused at once and may return.
 */
export async function submitOnLeader(
	term: LeaderTerm,
	submission: Submission,
	now: number,
): Promise<PeerMethods['job.submit']['result']> {
	const { engine } = term;
	if ((engine.plan?.version ?? 0) < submission.planVersion) {
		return { type: 'plan-behind', version: engine.plan?.version ?? 0 };
	}
	const decision = engine.submit(submission, now);
	term.flush();
	if (decision.type === 'refused') {
		return decision;
	}
	return (await term.whenJobStored(submission.id, decision.batch)) === 'stored' ? decision : withdrawn;
}

/**
 * Answers a submission on a daemon that has obtained a term but cannot take over the journal.
 * @param blockedForMs time for which the store has not served the takeover
 * @returns `undefined` while the takeover may still succeed soon, so that the caller should wait for it
 */
export function refuseWhileBlocked(blockedForMs: number): SubmitDecision | undefined {
	return blockedForMs < JOURNAL_STALL_MS ? undefined : withdrawn;
}
