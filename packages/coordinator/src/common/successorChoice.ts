/** What a leader knows of a follower when it hands over its term. Times are on the leader's monotonic clock. */
export interface SuccessorCandidate<Follower> {
	readonly follower: Follower;
	/** Whether the follower may lead: it has the processor time and is not about to stop itself. */
	readonly canLead: boolean;
	/** Time at which the process of the follower started. */
	readonly startedAt: number;
}

/**
 * Chooses the follower to which a stopping leader hands over its term; `undefined` when none can lead. A rolling stop
 * restarts one daemon after the other. A process that has restarted is not stopped again in the same round, whereas an old
 * one may be next, and each further handover interrupts the starts of tasks. The youngest process is therefore chosen.
 */
export function chooseSuccessor<Follower>(candidates: readonly SuccessorCandidate<Follower>[]): Follower | undefined {
	return candidates
		.filter(({ canLead }) => canLead)
		.reduce<SuccessorCandidate<Follower> | undefined>(
			(best, candidate) => (best === undefined || candidate.startedAt > best.startedAt ? candidate : best),
			undefined,
		)?.follower;
}
