import { STALL_RETRY_MS } from '@chestnutwheel/engine/common/jobs/journalStall.js';
import type { Submission, SubmitDecision } from '@chestnutwheel/engine/common/engineMessages.js';
import type { PeerMethods } from '../../common/peerProtocol.js';
import { decidingLeader } from '../leader/decidingLeader.js';
import type { LeaderTerm } from '../leader/leaderTerm.js';

/** Refusal of a job that the journal does not store at present, and of which no record will be. */
export const journalUnavailable: SubmitDecision = {
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
		return { ...decision, decidedBy: decidingLeader(term) };
	}
	return (await term.whenJobStored(submission.id, decision.batch)) === 'stored'
		? decision
		: { ...journalUnavailable, decidedBy: decidingLeader(term) };
}
