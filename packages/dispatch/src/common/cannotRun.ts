/** A worker on which a job failed. */
export interface FailedAttempt {
	readonly host: string;
	readonly rack: string;
}

const FAILED_HOSTS = 3;
const FAILED_RACKS = 2;

/** Whether a job failed on enough different workers and racks to blame the job, not the workers. */
export function cannotRun(failures: readonly FailedAttempt[]): boolean {
	return (
		new Set(failures.map(failure => failure.host)).size >= FAILED_HOSTS &&
		new Set(failures.map(failure => failure.rack)).size >= FAILED_RACKS
	);
}
