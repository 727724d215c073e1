import { fitsInto } from '@chestnutwheel/ports/common/resources.js';
import type { StartOutcome, StartRefusal } from '@chestnutwheel/ports/common/workerService.js';
import type { EngineContext } from '../engineContext.js';
import type { TaskRun } from '../jobs/job.js';
import type { RunTerminator } from '../jobs/runTerminator.js';
import { estimateWorkerClock, isFromOtherIncarnation, latestLocalTime } from './workerClock.js';
import type { WorkerIncarnations } from './workerIncarnations.js';
import { parseWorkerKey } from './workerKey.js';
import { LEASE_MARGIN_MS, MAXIMUM_ORDER_DELAY_MS } from './workerLeases.js';
import { recordSentLease, runKey, type UnansweredStart, type WorkerState } from './workerState.js';

/** Time for which a worker that has refused a start gets no new work, in milliseconds. */
const REFUSAL_BACKOFF_MS = 1_000;

/** Decides whether starts may be sent, and evaluates the answers to them. */
export interface WorkerStarts {
	/** Returns a start's deadline on the worker's clock; `undefined` if it must not be sent. */
	startDeadline(key: string, task: string, run: number, now: number): number | undefined;
	/** Handles an unanswered attempt to send a start. @returns whether another attempt may be made */
	startAttemptUnanswered(key: string, task: string, run: number, now: number): boolean;
	startAnswered(key: string, task: string, run: number, answer: StartOutcome, now: number): void;
}

/** Creates the component that handles starts of runs. */
export function createWorkerStarts(
	context: EngineContext,
	endRuns: RunTerminator,
	incarnations: WorkerIncarnations,
): WorkerStarts {
	const { workers, settings, logDecision: note, counters } = context;
	const { markUnreachable, endIncarnation } = incarnations;

	const findRun = (key: string, task: string, run: number): TaskRun | undefined =>
		workers.get(key)?.runs.get(runKey(task, run));

	const acceptsWork = (state: WorkerState | undefined): boolean =>
		state?.entry === undefined ||
		(!state.entry.isDraining &&
			!context.evacuated.has(state.entry.dataCentre) &&
			fitsInto(state.usedResources, state.entry.resources));

	/**
	 * Whether a start may still be sent: workers may have shrunk or begun to drain while it waited for the journal. The members
	 * of a gang start together or not at all.
	 */
	const mayStillStart = ({ task, run, workerKey }: TaskRun): boolean => {
		const { spec, tasks } = task.step;
		if (!spec.isGang) {
			return acceptsWork(workers.get(workerKey));
		}
		const members = tasks.flatMap(({ runs }) => runs.filter(other => other.run === run));
		return members.length === tasks.length && members.every(member => acceptsWork(workers.get(member.workerKey)));
	};

	const refusalHandlers: Record<StartRefusal, (state: WorkerState, run: TaskRun, now: number) => void> = {
		fenced: state =>
			context.emitNow({ type: 'deposed', reason: `worker ${state.worker} has seen a higher fencing token` }),
		'old-run': (_state, run) => {
			run.task.lastRun++;
		},
		late: () => undefined,
		'no-room': (state, _run, now) => {
			state.avoidUntil = now + REFUSAL_BACKOFF_MS;
		},
		ticket: (state, run) => context.advice.discardTicket(run.task.step, state.worker),
		'unknown-task': (_state, run, now) => {
			run.task.notBefore = now + REFUSAL_BACKOFF_MS;
		},
		unhealthy: (state, _run, now) => {
			state.avoidUntil = now + REFUSAL_BACKOFF_MS;
		},
		unreachable: (state, _run, now) => markUnreachable(state, 'no connection', now),
	};

	/** Records a start that the worker may still execute, in this incarnation or a later one. */
	const recordUnansweredStart = (state: WorkerState, task: string, run: number, now: number): void => {
		const unanswered: UnansweredStart = { task, runNumber: run, expiresAt: now + MAXIMUM_ORDER_DELAY_MS };
		state.unansweredStarts = [...state.unansweredStarts.filter(({ expiresAt }) => now < expiresAt), unanswered];
	};

	const startAnswerHandlers: {
		readonly [Type in StartOutcome['type']]: (
			state: WorkerState,
			run: TaskRun,
			answer: Extract<StartOutcome, { type: Type }>,
			now: number,
		) => void;
	} = {
		started: (state, run, { clockMs }, now) => {
			if (isFromOtherIncarnation(state, clockMs, now)) {
				// The worker has restarted and runs the task in a new incarnation, which has not been listed yet.
				note('start-met-new-life', { task: run.task.name, run: run.run, worker: state.key, clockMs });
				run.phase = 'unsure';
				recordUnansweredStart(state, run.task.name, run.run, now);
				return;
			}
			if (run.confirmedAt === undefined) {
				context.startDelay.record(now - run.decidedAt);
			}
			run.firstClockMs ??= clockMs;
			run.confirmedClockMs = Math.max(run.confirmedClockMs ?? 0, clockMs);
			run.confirmedAt ??= now;
			if (run.phase === 'starting' || run.phase === 'unsure') {
				run.phase = 'running';
			}
		},
		'not-started': (state, run, { reason, clockMs }, now) => {
			counters.add('starts_refused_total', { reason });
			note('start-refused', { task: run.task.name, run: run.run, worker: state.key, reason, clockMs });
			endRuns.discard(run, `refused-${reason}`, now);
			refusalHandlers[reason](state, run, now);
		},
		'other-worker': (state, _run, _answer, now) => {
			note('address-reused', { worker: state.key });
			endIncarnation(state, 'address-reused', now);
		},
		silent: (state, run, { reason }, now) => {
			counters.add('starts_unanswered_total');
			note('start-unanswered', { task: run.task.name, run: run.run, worker: state.key, reason });
			recordUnansweredStart(state, run.task.name, run.run, now);
			if (run.phase === 'starting') {
				run.phase = 'unsure';
			}
			markUnreachable(state, reason, now);
		},
	};

	return {
		startDeadline: (key, task, run, now) => {
			const state = workers.get(key);
			const known = findRun(key, task, run);
			const clockMs = state === undefined ? undefined : estimateWorkerClock(state, now);
			if (state === undefined || state.hasEnded || known?.phase !== 'starting' || clockMs === undefined) {
				return undefined;
			}
			if (!mayStillStart(known)) {
				const isEvacuated = context.evacuated.has(state.entry?.dataCentre);
				counters.add('starts_withheld_total', { isEvacuated: String(isEvacuated) });
				note('start-withheld', { task, run, worker: key, isDraining: state.entry?.isDraining, isEvacuated });
				return undefined;
			}
			known.startByMs = Math.round(clockMs + settings.startWindowMs);
			const latest = latestLocalTime(state, known.startByMs) ?? 0;
			state.leaseEndsBy = Math.max(state.leaseEndsBy, latest + LEASE_MARGIN_MS);
			recordSentLease(state, known.startByMs, now);
			return known.startByMs;
		},
		startAttemptUnanswered: (key, task, run, now) => {
			const { worker } = parseWorkerKey(key);
			const state = workers.get(key);
			const newest = workers.byName(worker);
			if (newest === undefined) {
				return false;
			}
			recordUnansweredStart(newest, task, run, now);
			const known = findRun(key, task, run);
			const isRepeated = newest === state && !state.hasEnded && known?.phase === 'starting';
			if (isRepeated) {
				recordSentLease(state, known.startByMs, now);
			}
			return isRepeated;
		},
		startAnswered: (key, task, runNumber, answer, now) => {
			const state = workers.get(key);
			const run = findRun(key, task, runNumber);
			// The lists of the next incarnation tell what became of a start to one that has ended.
			if (state !== undefined && !state.hasEnded && run !== undefined) {
				(startAnswerHandlers[answer.type] as (s: WorkerState, r: TaskRun, a: StartOutcome, n: number) => void)(
					state,
					run,
					answer,
					now,
				);
			}
		},
	};
}
