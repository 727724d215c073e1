import type { MonotonicTime } from '@chestnutwheel/base/common/clock.js';
import { STALL_RETRY_MS } from '@chestnutwheel/engine/common/jobs/journalStall.js';
import type { Submission, SubmitDecision } from '@chestnutwheel/engine/common/engineMessages.js';
import type { PeerMethods } from '../../common/peerProtocol.js';
import { decidingLeader } from '../leader/decidingLeader.js';
import type { LeaderTerm } from '../leader/leaderTerm.js';
import { proveAnswer, type ProofOutcome } from './answerProofs.js';

/** Refusal of a job that the journal does not store at present, and of which no record will be. */
export const journalUnavailable: SubmitDecision = {
	type: 'refused',
	kind: 'log-unavailable',
	reason: 'the journal does not store the job at present',
	retryAfterMs: STALL_RETRY_MS,
};

/** Results of a submission by the proof of its decision; `undefined` if the leader of the next term has to decide. */
const submitResults: Readonly<Record<ProofOutcome, (decision: SubmitDecision) => SubmitDecision | undefined>> = {
	proven: decision => decision,
	withdrawn: () => journalUnavailable,
	'not-served': () => journalUnavailable,
	ended: () => undefined,
};

/**
 * Submits a job on the leader. An acceptance is answered once it is stored, or once it is certain that no record of the job will
 * be: a caller whose job was withdrawn is refused at once and may return.
 * @param receivedAt time at which the leader received the call
 * @returns `undefined` if the term has ended before the answer was proven
 */
export async function submitOnLeader(
	term: LeaderTerm,
	submission: Submission,
	receivedAt: MonotonicTime,
	now: MonotonicTime,
): Promise<PeerMethods['job.submit']['result'] | undefined> {
	const { engine } = term;
	if ((engine.plan?.version ?? 0) < submission.planVersion) {
		return { type: 'plan-behind', version: engine.plan?.version ?? 0 };
	}
	const decision = engine.submit(submission, now);
	term.flush();
	const result = submitResults[await proveAnswer(term, decision, { job: submission.id, receivedAt })](decision);
	return result?.type === 'refused' ? { ...result, decidedBy: decidingLeader(term) } : result;
}
