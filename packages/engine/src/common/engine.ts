import type { FleetPlan, MaintenanceWave } from '@chestnutwheel/ports/common/fleetPlan.js';
import type { FeedChange } from '@chestnutwheel/ports/common/feeds.js';
import type { AdviceOutcome, HostOrderOutcome, ListedHost } from '@chestnutwheel/ports/common/hostService.js';
import type { WorkerEntry } from '@chestnutwheel/ports/common/workerService.js';
import { createEngineContext, type EngineOptions } from './engineContext.js';
import type { EngineOutput } from './engineMessages.js';
import { createRunTerminator } from './jobs/runTerminator.js';
import { createHostController } from './hosts/hostController.js';
import { createJobRequestHandler, type JobRequestHandler } from './jobs/jobRequestHandler.js';
import { createJournalCompaction } from './jobs/journalCompaction.js';
import type { JournalEvent } from './jobs/journalEvent.js';
import { createPoolForecast, type ForecastFactory } from './scheduling/poolForecast.js';
import { createSchedulingPass } from './scheduling/schedulingPass.js';
import { createWorkerMonitor, type WorkerMonitor } from './workers/workerMonitor.js';

/**
 * The leader's scheduling core. It is deterministic: it uses no sockets, timers or clock of its own. After every call
 * the caller takes the output with `takeOutput`, then stores its events and carries out its effects.
 */
export interface Engine extends JobRequestHandler {
	/** Applies a journal record, before the term begins. */
	replay(event: JournalEvent, offset: number, now: number): void;
	/**
	 * Begins a term, once the journal has been read to its end and is fenced against all predecessors.
	 * @param journalEnd offset after the last record that the journal has ever held, also if it has expired
	 */
	beginTerm(term: number, holder: string, now: number, journalEnd?: number): void;
	/** Records that no leader of an earlier term is active: its process has confirmed this, or has exited. */
	predecessorStopped(now: number): void;
	/** Applies a fleet plan, unless it is not newer than the plan in force. */
	planChanged(plan: FleetPlan): void;
	/**
	 * Applies changes of worker entries.
	 * @param names all listed workers, when the entries were read in full
	 */
	workersChanged(
		changes: readonly FeedChange<WorkerEntry>[],
		names: ReadonlySet<string> | undefined,
		now: number,
	): void;
	/** Handles polls of workers and the answers to orders. */
	readonly monitor: Omit<WorkerMonitor, 'monitor' | 'handleBatchStored' | 'expireLeases'>;
	/** Applies the answer of the advice service about the workers that may run a step. */
	adviceReceived(step: string, workers: readonly string[], answer: AdviceOutcome, now: number): void;
	/** Replaces the maintenance waves by those that the operator now asks for. */
	wavesChanged(waves: readonly MaintenanceWave[], now: number): void;
	/** Replaces the data centres that the operator asks to evacuate by those that stand now. No task starts there. */
	evacuationsChanged(dataCentres: readonly string[], now: number): void;
	/**
	 * Applies a listing of the hosts.
	 * @param hosts the complete list; `undefined` when it could not be read
	 */
	hostsListed(hosts: readonly ListedHost[] | undefined, now: number): void;
	/** Applies the answer to an order for a host; `not-sent` when the order was never sent. */
	hostOrderAnswered(host: string, answer: HostOrderOutcome | { readonly type: 'not-sent' }, now: number): void;
	/** Whether the stop of a run that got no answer may be sent again now. */
	mayRepeatStop(workerKey: string, task: string, run: number, now: number): boolean;
	/** Whether a host with a pending order is due to return soon with a worker that has no known entry yet. */
	expectsWorker(now: number): boolean;
	/**
	 * Handles the confirmation that the journal has stored a batch.
	 * @param offset offset of the first record of the batch
	 */
	batchStored(batch: number, offset: number): void;
	/**
	 * Records whether the journal stalls. New jobs are refused while it does.
	 * @param since send time of the first append that is not stored; `undefined` while the journal stores batches
	 */
	journalStalled(since: number | undefined): void;
	/** Ends all decisions before the term is handed over: no task starts, and no host is ordered, from now on. */
	quiesce(): void;
	/** Performs work that is due, and places tasks that may start. */
	tick(now: number): void;
	/** Returns the time of the next tick that is needed if no message arrives before. */
	nextTickAt(now: number): number;
	/** Returns the offset before which journal records are no longer needed. */
	trimOffset(): number;
	/** Returns the events and effects produced since the last call, and clears them. */
	takeOutput(): EngineOutput;
	readonly plan: FleetPlan | undefined;
	readonly term: number | undefined;
}

/** Longest time between two ticks. */
const IDLE_TICK_MS = 100;

/** Creates an engine without jobs and workers. */
export function createEngine(options: EngineOptions, createForecast: ForecastFactory = createPoolForecast): Engine {
	const context = createEngineContext(options);
	const endRuns = createRunTerminator(context);
	const forecast = createForecast(context);
	const calls = createJobRequestHandler(context, endRuns, forecast);
	const monitor = createWorkerMonitor(context, endRuns);
	const schedulePass = createSchedulingPass(context, forecast);
	const jobMaintenance = createJournalCompaction(context);
	const hostMaintenance = createHostController(context, endRuns, monitor);
	let nextDueAt: number | undefined;

	return {
		...calls,
		monitor,
		replay: (event, offset, now) => context.apply(event, offset, now),
		beginTerm: (term, holder, now, journalEnd = 0) => {
			context.finishReplay(journalEnd);
			context.term = term;
			context.holder = holder;
			context.termBeganAt = now;
			for (const job of context.jobs.all()) {
				job.visibleState = job.state;
				job.stateBatch = 0;
				if (job.state !== 'open') {
					endRuns.stopJob(job, job.state === 'cancelled' ? 'cancelled' : 'gang-broken');
				}
			}
			hostMaintenance.takeOver(now);
			context.recordTermBegin(now);
			for (const state of context.workers.current()) {
				monitor.monitor(state);
			}
			context.needsSchedulingPass = true;
		},
		predecessorStopped: now => {
			const { predecessor, term } = context;
			if (predecessor.stoppedAt === undefined && predecessor.isSettled && term !== undefined) {
				context.logDecision('predecessor-stopped', { afterMs: Math.round(now - context.termBeganAt) });
				predecessor.stoppedAt = now;
				context.record({ type: 'settled', term }, now);
			}
		},
		planChanged: plan => {
			if (context.plan !== undefined && plan.version <= context.plan.version) {
				return;
			}
			context.logDecision('plan-in-force', {
				version: plan.version,
				before: context.plan?.version,
				queues: plan.queues.length,
			});
			context.plan = plan;
			context.queues.clear();
			plan.queues.forEach(queue => context.queues.set(queue.name, queue));
			plan.teams.forEach(team => context.knownTeams.set(team.name, team));
			context.needsSchedulingPass = true;
		},
		workersChanged: (changes, names, now) => {
			for (const change of changes) {
				const state = context.workers.applyEntryChange(change, now);
				if (change.value === 'unreadable') {
					context.counters.add('worker_entries_unreadable_total');
				}
				if (state !== undefined && context.term !== undefined) {
					monitor.monitor(state);
				}
			}
			if (names !== undefined) {
				context.workers.applyFullRead(names, now);
			}
			context.needsSchedulingPass = true;
		},
		adviceReceived: (step, workers, answer, now) => {
			context.advice.recordAnswer(step, workers, answer, now);
			context.needsSchedulingPass = true;
		},
		wavesChanged: (waves, now) => hostMaintenance.addWaves(waves, now),
		evacuationsChanged: (dataCentres, now) => hostMaintenance.changeEvacuations(dataCentres, now),
		hostsListed: (list, now) => {
			if (list !== undefined) {
				context.workers.applyHostList(list);
			}
			hostMaintenance.handleHostList(list, now);
		},
		hostOrderAnswered: (host, answer, now) => hostMaintenance.handleOrderAnswer(host, answer, now),
		mayRepeatStop: (workerKey, task, run, now) => hostMaintenance.mayRepeatStop(workerKey, task, run, now),
		expectsWorker: now => hostMaintenance.expectsWorker(now),
		batchStored: (batch, offset) => {
			context.lastStoredBatch = Math.max(context.lastStoredBatch, batch);
			monitor.handleBatchStored(batch);
			jobMaintenance.stored(batch, offset);
			hostMaintenance.handleBatchStored(batch, offset);
		},
		journalStalled: since => {
			if ((since === undefined) !== (context.journalStalledSince === undefined)) {
				context.logDecision(since === undefined ? 'journal-writable' : 'journal-stalled', { term: context.term });
			}
			context.journalStalledSince = since;
		},
		quiesce: () => {
			context.isQuiescent = true;
		},
		tick: now => {
			if (context.term === undefined || context.isQuiescent) {
				return;
			}
			const wallNow = context.wallNow();
			const dueAt = context.jobs.createDueOccurrences(wallNow, now);
			nextDueAt = dueAt === undefined ? undefined : now + (dueAt - wallNow);
			const { predecessor } = context;
			if (predecessor.stoppedAt === undefined && now > context.termBeganAt + predecessor.validMs) {
				predecessor.stoppedAt = now;
				context.record({ type: 'settled', term: context.term }, now);
			}
			monitor.expireLeases(now);
			endRuns.tick(now);
			jobMaintenance.tick(now);
			hostMaintenance.tick(now);
			const nextPassAt = schedulePass.nextPassAt(now);
			if (context.needsSchedulingPass || (nextPassAt !== undefined && now >= nextPassAt)) {
				schedulePass.run(now);
			}
		},
		nextTickAt: now => {
			const times = [nextDueAt, schedulePass.nextPassAt(now)].filter(time => time !== undefined);
			return context.needsSchedulingPass && !context.isQuiescent ? now : Math.min(now + IDLE_TICK_MS, ...times);
		},
		trimOffset: () => Math.min(jobMaintenance.trimBefore(), hostMaintenance.trimBefore()),
		takeOutput: () => context.takeOutput(),
		get plan() {
			return context.plan;
		},
		get term() {
			return context.term;
		},
	};
}
