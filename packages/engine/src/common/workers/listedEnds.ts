import { storableCheckpoint } from '../jobs/storableCheckpoint.js';
import type { ListedEnd } from '@chestnutwheel/ports/common/workerService.js';
import type { EngineContext } from '../engineContext.js';
import type { Task, TaskRun } from '../jobs/job.js';
import type { EndedRun } from '../jobs/journalEvent.js';
import type { RunTerminator } from '../jobs/runTerminator.js';
import { isAwayFromData } from '../scheduling/placeWaits.js';
import { recordOutcome } from './workerSuspicion.js';
import { runKey, type WorkerState } from './workerState.js';

/** Records the run ends that workers list, and acknowledges them once the journal has stored them. */
export interface ListedEnds {
	/** Records ends that have not been read before, in index order. */
	apply(state: WorkerState, ends: readonly ListedEnd[], now: number): void;
	/** Allows run ends recorded up to the given journal batch to be acknowledged. */
	handleBatchStored(batch: number): void;
}

/** Whether a run was started by an incarnation, also late by an order to a former one, which is being blocked. */
function isRunOf(run: TaskRun, state: WorkerState): boolean {
	return run.workerKey === state.key || state.blockedStarts.get(runKey(run.task.name, run.run))?.run === run;
}

/**
 * Whether the end of a run of which the leader holds no state decides on its task all the same: the run was given up, perhaps by a
 * former leader. Once the end is acknowledged the task must not start again if the run is done, and a failure counts as an attempt.
 * A failure that the journal holds already must not count twice. Other ends of such a run say nothing.
 */
function isDecisiveEnd(task: Task, run: number, end: ListedEnd['end']): boolean {
	const isDone = end === 'done' && run <= task.lastRun;
	return task.state !== 'done' && (isDone || (end === 'failed' && task.givenUpRuns.includes(run)));
}

/** Creates the component that records listed run ends. */
export function createListedEnds(context: EngineContext, endRuns: RunTerminator): ListedEnds {
	const { jobs, workers, counters, logDecision: note } = context;
	/** Run ends that may be acknowledged once their journal batch is stored. */
	const pendingAcknowledgements: { readonly state: WorkerState; readonly index: number; readonly batch: number }[] = [];

	const recordRunEnd = (state: WorkerState, run: TaskRun, end: ListedEnd['end'], now: number): void => {
		const { task } = run;
		const { accepted } = task.step.occurrence.job;
		counters.add('runs_ended_total', { queue: accepted.queue, end });
		if (end === 'done') {
			task.step.timeline.lastConfirmedAt = run.confirmedAt;
		}
		if (end === 'done' && !task.step.spec.isLasting && run.startCheckpoint === '' && run.confirmedAt !== undefined) {
			const slowdown = isAwayFromData(task.step, state.entry?.rack) ? context.settings.farFactor : 1;
			task.step.runTimesMs.push((now - run.confirmedAt) / slowdown);
		}
		if (end === 'done' || end === 'failed') {
			recordOutcome(state, { hasSucceeded: end === 'done', endedAt: now, job: accepted.id });
		}
	};

	const handleBatchStored = (batch: number): void => {
		while (pendingAcknowledgements[0] !== undefined && pendingAcknowledgements[0].batch <= batch) {
			const { state, index } = pendingAcknowledgements[0];
			state.acknowledgedEndIndex = Math.max(state.acknowledgedEndIndex, index);
			pendingAcknowledgements.shift();
		}
	};

	/** Indexes are consecutive, so a gap shows that the worker has forgotten ends which this leader has not read. */
	const logMissingEnds = (state: WorkerState, ends: readonly ListedEnd[]): void => {
		const missing = (ends.at(-1)?.index ?? 0) - state.lastReadEndIndex - ends.length;
		const former = workers
			.incarnationsOf(state.worker)
			.filter(other => other !== state)
			.flatMap(({ sentCalls }) => sentCalls ?? []);
		// The ends before the first list of a term may have been acknowledged by a former leader.
		if (missing > 0 && (state.lastReadEndIndex > 0 || former.length > 0)) {
			counters.add('run_ends_missing_total');
			note('ends-missing', {
				worker: state.key,
				missing,
				readUpTo: state.lastReadEndIndex,
				acknowledgedToFormer: Math.max(0, ...former.map(({ acknowledged }) => acknowledged)),
			});
		}
	};

	return {
		apply: (state, ends, now) => {
			const last = ends.at(-1);
			if (last === undefined) {
				return;
			}
			logMissingEnds(state, ends);
			state.lastReadEndIndex = last.index;
			const recorded: EndedRun[] = [];
			for (const { task: name, run, end, checkpoint } of ends) {
				const task = jobs.task(name);
				const knownRun = task?.runs.find(candidate => candidate.run === run && isRunOf(candidate, state));
				if (knownRun !== undefined) {
					recorded.push([name, run, end, storableCheckpoint(checkpoint, context.counters)]);
					recordRunEnd(state, knownRun, end, now);
					state.blockedStarts.delete(runKey(name, run));
				} else if (task !== undefined && isDecisiveEnd(task, run, end)) {
					counters.add('ends_of_given_up_runs_total', { end });
					recorded.push([name, run, end, '']);
				}
			}
			if (recorded.length > 0) {
				endRuns.recordEnds(recorded, state.worker, now);
			}
			pendingAcknowledgements.push({
				state,
				index: last.index,
				batch: recorded.length > 0 ? context.nextBatch : context.lastStoredBatch,
			});
			handleBatchStored(context.lastStoredBatch);
		},
		handleBatchStored,
	};
}
