import type { WorkerOrderOutcome } from '@chestnutwheel/ports/common/workerService.js';
import type { EngineContext } from '../engineContext.js';
import type { TaskRun } from '../jobs/job.js';
import type { WorkerState } from './workerState.js';

/** Time on the worker's clock after its answer to a stop within which the run ends, in milliseconds. */
const STOP_DURATION_MS = 1_000;

/**
 * Repeats stop orders until their runs have ended. An order may be lost in many ways: its term ends, the address of the worker
 * is not known yet, or no attempt is answered. Its run would otherwise stay in the phase `stopping` and go on, since polls
 * extend its lease. A list that shows the run at work is the proof that another order is needed.
 */
export interface StopOrders {
	/** Handles a list that shows a run at work. @param clockMs the worker's clock in that list */
	handleRunning(state: WorkerState, run: TaskRun, clockMs: number): void;
	/** Handles the answer to an attempt to send a stop; further attempts follow one that was not answered. */
	handleAnswer(run: TaskRun, answer: WorkerOrderOutcome): void;
	/** Records that no further attempt to send a stop will be made. */
	handleAbandoned(run: TaskRun): void;
}

/** Creates the component that repeats stop orders. */
export function createStopOrders({ emitNow, counters }: Pick<EngineContext, 'emitNow' | 'counters'>): StopOrders {
	return {
		handleRunning: (state, run, clockMs) => {
			const isEnding = run.stoppedClockMs !== undefined && clockMs <= run.stoppedClockMs + STOP_DURATION_MS;
			if (run.phase !== 'stopping' || run.isStopOrderPending || isEnding) {
				return;
			}
			run.isStopOrderPending = true;
			counters.add('stops_repeated_total', { reason: run.stopReason ?? '' });
			emitNow({ type: 'stop', workerKey: state.key, task: run.task.name, run: run.run, isRepeat: true });
		},
		handleAnswer: (run, answer) => {
			if (answer.type === 'silent') {
				return;
			}
			run.isStopOrderPending = false;
			if (answer.type === 'done') {
				run.stoppedClockMs = answer.clockMs;
			}
		},
		handleAbandoned: run => {
			run.isStopOrderPending = false;
		},
	};
}
