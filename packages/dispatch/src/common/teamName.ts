/** Name under which the work of open queues is counted. */
export const OPEN_TEAM = 'open';

/** Weight of the open queues in the fair queue. */
export const OPEN_SHARE = 1;

/** The name under which work is counted. @param team `undefined` in open queues */
export function teamName(team: string | undefined): string {
	return team ?? OPEN_TEAM;
}
