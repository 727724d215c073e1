import type { MonotonicTime } from '@chestnutwheel/base/common/clock.js';
import { JOURNAL_STALL_MS } from '@chestnutwheel/engine/common/jobs/journalStall.js';
import type {
	CancelDecision,
	StateDecision,
	SubmitDecision,
	SubmitRefusal,
} from '@chestnutwheel/engine/common/engineMessages.js';
import type { LeaderTerm } from '../leader/leaderTerm.js';

/** Answer of a leader about a job. Its caller may take it as final. */
export type JobAnswer = SubmitDecision | CancelDecision | StateDecision;

/** Call of a caller about a job. */
export interface JobCall {
	readonly job: string;
	/** Time at which the leader received the call. */
	readonly receivedAt: MonotonicTime;
}

/**
 * Whether an answer may be given. `withdrawn`: the job that was accepted has been withdrawn, and never runs. `not-served`: the
 * store has not proven the answer in time. `ended`: the term has ended, and its successor has to answer.
 */
export type ProofOutcome = 'proven' | 'withdrawn' | 'not-served' | 'ended';

/** The parts of a term that prove its answers. */
export type ProvingTerm = Pick<LeaderTerm, 'whenStored' | 'whenJobStored' | 'whenConfirmed'>;

/**
 * Longest time for which an answer waits for its proof, in milliseconds. Its caller then asks again. The daemon that asks waits
 * longer, so that it hears of it.
 */
const PROOF_TIMEOUT_MS = 1_000;

/** Age of the newest confirmation of the term up to which a count of jobs may be given. Callers expect no newer one. */
const MAXIMUM_COUNT_AGE_MS = 2_000;

const proveTerm = async (
	term: Pick<LeaderTerm, 'whenConfirmed'>,
	{ receivedAt }: Pick<JobCall, 'receivedAt'>,
	withinMs: number,
): Promise<ProofOutcome> => {
	const outcome = await term.whenConfirmed(receivedAt, withinMs);
	return outcome === 'confirmed' ? 'proven' : outcome;
};

const proveBatch = async (term: Pick<LeaderTerm, 'whenStored'>, batch: number): Promise<ProofOutcome> => {
	await term.whenStored(batch);
	return 'proven';
};

type RefusalProof = (term: ProvingTerm, call: JobCall) => Promise<ProofOutcome>;

const confirmedRefusal: RefusalProof = (term, call) => proveTerm(term, call, JOURNAL_STALL_MS);

/**
 * Proofs of refusals. No call to the store can prove a refusal that is given because the store does not serve the leader. It
 * rests on the daemon that holds the caller's connection, which passes it on only if no other call of the submission can be accepted.
 */
const refusalProofs: Readonly<Record<SubmitRefusal, RefusalProof>> = {
	'unknown-queue': confirmedRefusal,
	'bad-request': confirmedRefusal,
	overloaded: confirmedRefusal,
	'not-ready': confirmedRefusal,
	'request-key-used': confirmedRefusal,
	'log-unavailable': () => Promise.resolve('proven'),
};

/**
 * Proof of each answer, which must be newer than the call: a daemon that was suspended or cut off may still consider itself the
 * leader. A batch that is stored proves its decision, since the journal accepts none of a leader that was replaced. A refusal, and
 * the state of a job that the leader does not know, leave no batch, so the store has to confirm its term after the call.
 */
const proofs: {
	readonly [Type in JobAnswer['type']]: (
		term: ProvingTerm,
		answer: Extract<JobAnswer, { type: Type }>,
		call: JobCall,
	) => Promise<ProofOutcome>;
} = {
	accepted: async (term, { batch }, { job }) =>
		(await term.whenJobStored(job, batch)) === 'stored' ? 'proven' : 'withdrawn',
	refused: (term, { kind }, call) => refusalProofs[kind](term, call),
	cancelled: (term, { batch }) => proveBatch(term, batch),
	'unknown-job': (term, answer, call) =>
		'batch' in answer ? proveBatch(term, answer.batch) : proveTerm(term, call, PROOF_TIMEOUT_MS),
	// The engine reports the state of a job as far as the journal has stored it, and a stored end is final.
	state: () => Promise.resolve('proven'),
};

/**
 * Waits for the proof that an answer needs.
 * @throws when the term ends before the batch of the answer is stored, so that it is not known whether it will be
 */
export function proveAnswer(term: ProvingTerm, answer: JobAnswer, call: JobCall): Promise<ProofOutcome> {
	const prove = proofs[answer.type] as (term: ProvingTerm, answer: JobAnswer, call: JobCall) => Promise<ProofOutcome>;
	return prove(term, answer, call);
}

/** Waits for the proof that a count of jobs needs, if it needs one. */
export async function proveCount(
	term: Pick<LeaderTerm, 'whenConfirmed' | 'proof'>,
	receivedAt: MonotonicTime,
): Promise<ProofOutcome> {
	return term.proof.ageMs() <= MAXIMUM_COUNT_AGE_MS ? 'proven' : proveTerm(term, { receivedAt }, PROOF_TIMEOUT_MS);
}
