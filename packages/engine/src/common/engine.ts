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
import { createSchedulingPass } from './scheduling/schedulingPass.js';
import { createWorkerMonitor, type WorkerMonitor } from './workers/workerMonitor.js';

/**
 * The decisions of the leader: deterministic, without sockets, timers or a clock of its own. Every call is followed by
 * `drain`, which says what has to be stored and ordered.
 */
export interface Engine extends JobRequestHandler {
	/** Applies a record of the journal, before the term begins. */
	replay(event: JournalEvent, offset: number, now: number): void;
	/** The journal was read to its end and is closed to all predecessors. */
	lead(term: number, holder: string, now: number): void;
	/** No leader of an earlier term is at work any more: its process says so, or has ended. */
	predecessorStopped(now: number): void;
	planChanged(plan: FleetPlan): void;
	/** @param names all workers that are listed, when the entries were read in full */
	workersChanged(
		changes: readonly FeedChange<WorkerEntry>[],
		names: ReadonlySet<string> | undefined,
		now: number,
	): void;
	readonly watch: Omit<WorkerMonitor, 'monitor' | 'handleBatchStored' | 'expireLeases'>;
	advised(step: string, workers: readonly string[], answer: AdviceOutcome, now: number): void;
	wavesChanged(waves: readonly MaintenanceWave[], now: number): void;
	/** @param hosts the whole list; `undefined` when it could not be read */
	hostsListed(hosts: readonly ListedHost[] | undefined, now: number): void;
	hostAnswered(host: string, answer: HostOrderOutcome | { readonly type: 'not-sent' }, now: number): void;
	/** Whether a host that was ordered about should be back soon, with a worker that is not known yet. */
	expectsWorker(now: number): boolean;
	/** The journal has stored a batch. @param offset of its first record */
	stored(batch: number, offset: number, now: number): void;
	/** Does what is due and places what may start. */
	tick(now: number): void;
	/** The earliest time at which a tick changes anything that no message announces. */
	nextTickAt(now: number): number;
	/** Records before this offset are no longer needed. */
	trimBefore(): number;
	drain(): EngineOutput;
	readonly plan: FleetPlan | undefined;
	readonly term: number | undefined;
}

/** Time between two ticks when nothing is due. */
const IDLE_TICK_MS = 100;

/** Creates an engine without jobs and workers. */
export function createEngine(options: EngineOptions): Engine {
	const context = createEngineContext(options);
	const endRuns = createRunTerminator(context);
	const calls = createJobRequestHandler(context, endRuns);
	const watch = createWorkerMonitor(context, endRuns);
	const pass = createSchedulingPass(context);
	const keeping = createJournalCompaction(context);
	const hosts = createHostController(context, endRuns, watch);
	let nextDue: number | undefined;

	return {
		...calls,
		watch,
		replay: (event, offset, now) => context.apply(event, offset, now),
		lead: (term, holder, now) => {
			context.term = term;
			context.holder = holder;
			context.ledSince = now;
			for (const job of context.jobs.all()) {
				job.visibleState = job.state;
				job.stateBatch = 0;
				if (job.state !== 'open') {
					endRuns.stopJob(job, job.state === 'cancelled' ? 'cancelled' : 'gang-broken');
				}
			}
			hosts.takeOver(now);
			context.recordTerm(now);
			for (const state of context.workers.newest()) {
				watch.monitor(state, now);
			}
			context.needsPass = true;
		},
		predecessorStopped: now => {
			const { predecessor, term } = context;
			if (predecessor.stoppedAt === undefined && predecessor.isSettled && term !== undefined) {
				context.note('predecessor-stopped', { afterMs: Math.round(now - context.ledSince) });
				predecessor.stoppedAt = now;
				context.record({ type: 'settled', term }, now);
			}
		},
		planChanged: plan => {
			if (context.plan !== undefined && plan.version <= context.plan.version) {
				return;
			}
			context.note('plan-in-force', {
				version: plan.version,
				before: context.plan?.version,
				queues: plan.queues.length,
			});
			context.plan = plan;
			context.queues.clear();
			plan.queues.forEach(queue => context.queues.set(queue.name, queue));
			plan.teams.forEach(team => context.knownTeams.set(team.name, team));
			context.needsPass = true;
		},
		workersChanged: (changes, names, now) => {
			for (const change of changes) {
				const state = context.workers.applyEntryChange(change, now);
				if (change.value === 'unreadable') {
					context.counters.add('worker_entries_unreadable_total');
				}
				if (state !== undefined && context.term !== undefined) {
					watch.monitor(state, now);
				}
			}
			if (names !== undefined) {
				context.workers.applyFullRead(names, now);
			}
			context.needsPass = true;
		},
		advised: (step, workers, answer, now) => {
			context.advice.recordAnswer(step, workers, answer, now);
			context.needsPass = true;
		},
		wavesChanged: (waves, now) => hosts.addWaves(waves, now),
		hostsListed: (list, now) => hosts.handleHostList(list, now),
		hostAnswered: (host, answer, now) => hosts.handleOrderAnswer(host, answer, now),
		expectsWorker: now => hosts.expectsWorker(now),
		stored: (batch, offset, now) => {
			context.storedBatch = Math.max(context.storedBatch, batch);
			watch.handleBatchStored(batch);
			keeping.stored(batch, offset, now);
			hosts.handleBatchStored(batch, offset, now);
		},
		tick: now => {
			if (context.term === undefined) {
				return;
			}
			const wallNow = context.wallNow();
			const dueAt = context.jobs.createDueOccurrences(wallNow, now);
			nextDue = dueAt === undefined ? undefined : now + (dueAt - wallNow);
			const { predecessor } = context;
			if (predecessor.stoppedAt === undefined && now > context.ledSince + predecessor.validMs) {
				predecessor.stoppedAt = now;
				context.record({ type: 'settled', term: context.term }, now);
			}
			watch.expireLeases(now);
			keeping.tick(now);
			hosts.tick(now);
			const mayStartLater = pass.nextPassAt(now);
			if (context.needsPass || (mayStartLater !== undefined && now >= mayStartLater)) {
				pass.run(now);
			}
		},
		nextTickAt: now => {
			const times = [nextDue, pass.nextPassAt(now)].filter(time => time !== undefined);
			return context.needsPass ? now : Math.min(now + IDLE_TICK_MS, ...times);
		},
		trimBefore: () => Math.min(keeping.trimBefore(), hosts.trimBefore()),
		drain: () => context.drain(),
		get plan() {
			return context.plan;
		},
		get term() {
			return context.term;
		},
	};
}
