/**
 * When the tasks of a step could start, were started and ended, on the monotonic clock of this leader. What happened under
 * a former leader is missing.
 */
export interface StepTimeline {
	/** Time at which the first task that was started could have started. */
	readyAt: number | undefined;
	firstStartAt: number | undefined;
	lastStartAt: number | undefined;
	/** Time at which a worker confirmed the last start of a run that succeeded. */
	lastConfirmedAt: number | undefined;
	doneAt: number | undefined;
	/** Number of runs that ended without success, or were lost. */
	unsuccessfulRuns: number;
}

/** Creates the timeline of a step of which no task has started. */
export function createStepTimeline(): StepTimeline {
	return {
		readyAt: undefined,
		firstStartAt: undefined,
		lastStartAt: undefined,
		lastConfirmedAt: undefined,
		doneAt: undefined,
		unsuccessfulRuns: 0,
	};
}

/** Records the decision to start a task. @param readySince time since which the task could have started */
export function recordStart(timeline: StepTimeline, readySince: number, now: number): void {
	timeline.readyAt ??= readySince;
	timeline.firstStartAt ??= now;
	timeline.lastStartAt = now;
}

/**
 * Returns the timeline in milliseconds since the acceptance of the job, for a log line. From `lastStart` to `confirmed` the
 * start waits for the journal and the worker; before it, for a worker with room.
 */
export function describeTimeline(
	timeline: StepTimeline,
	acceptedAt: number,
): Readonly<Record<string, number | undefined>> {
	const since = (time: number | undefined): number | undefined =>
		time === undefined ? undefined : Math.round(time - acceptedAt);
	return {
		ready: since(timeline.readyAt),
		firstStart: since(timeline.firstStartAt),
		lastStart: since(timeline.lastStartAt),
		confirmed: since(timeline.lastConfirmedAt),
		done: since(timeline.doneAt),
		unsuccessfulRuns: timeline.unsuccessfulRuns,
	};
}
