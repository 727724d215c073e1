import { addResources, scaleResources, type Resources } from '@chestnutwheel/ports/common/resources.js';
import type { EngineContext } from '../engineContext.js';
import type { Step } from '../jobs/job.js';
import { effectiveDemand } from '../scheduling/placement.js';
import { stepUrgency } from '../scheduling/stepUrgency.js';
import { isWithinCap } from '../scheduling/teamUsage.js';
import { demandOnWorker } from '../workers/workerTable.js';
import { createPoolDemand, resourcesForWaiting, type PoolDemand } from './poolDemand.js';

/** Sums the demand of the running and waiting tasks of each pool. */
export function readPoolDemands(context: EngineContext, now: number): ReadonlyMap<string, PoolDemand> {
	const byPool = new Map<string, PoolDemand>();
	const usageByTeam = new Map<string, Resources>();
	const demandOfPool = (pool: string): PoolDemand => {
		const known = byPool.get(pool) ?? createPoolDemand();
		byPool.set(pool, known);
		return known;
	};
	for (const state of context.workers.all()) {
		for (const run of state.runs.values()) {
			const { step } = run.task;
			const demand = demandOfPool(context.queueTermsOf(step.occurrence.job.accepted).pool);
			const kind = step.spec.isLasting ? 'lasting' : 'running';
			demand[kind] = addResources(demand[kind], demandOnWorker(run));
			demand.minimumWorkers = Math.max(demand.minimumWorkers, minimumWorkersOf(step));
		}
	}
	for (const step of context.readySteps) {
		const { job } = step.occurrence;
		const { pool, priority } = context.queueTermsOf(job.accepted);
		if (job.state !== 'open' || step.waitingCount === 0) {
			continue;
		}
		const demand = demandOfPool(pool);
		const taskDemand = effectiveDemand(step.spec);
		if (step.spec.isLasting) {
			demand.lasting = addResources(demand.lasting, scaleResources(taskDemand, step.waitingCount));
		} else {
			const startDelayMs = context.startDelay.averageMs;
			const expected = startDelayMs + context.durations.expectedMs(job.accepted.queue, step.spec.estimateMs);
			const { latestStart: startBy } = stepUrgency(step, job.timing, startDelayMs, now);
			const waitingDemand = resourcesForWaiting(
				taskDemand,
				countWithinCap(context, step, usageByTeam),
				expected,
				startBy - now,
				context.moveTime.medianMs,
			);
			demand.waiting = addResources(demand.waiting, waitingDemand);
		}
		demand.minimumWorkers = Math.max(demand.minimumWorkers, minimumWorkersOf(step));
		demand.priority = Math.min(demand.priority, priority);
	}
	return byPool;
}

/** Counts the waiting tasks of a step that fit below its team's cap. */
function countWithinCap(context: EngineContext, step: Step, usageByTeam: Map<string, Resources>): number {
	const { team: name } = step.occurrence.job.accepted;
	const team = name === undefined ? undefined : context.knownTeams.get(name);
	if (team === undefined) {
		return step.waitingCount;
	}
	const used = usageByTeam.get(team.name) ?? context.teamUsage.used(team.name);
	let count = 0;
	let total = used;
	for (
		let next = addResources(total, step.spec.demand);
		count < step.waitingCount && isWithinCap(next, team.cap);
		count++
	) {
		total = next;
		next = addResources(total, step.spec.demand);
	}
	usageByTeam.set(team.name, total);
	return count;
}

/** Returns the number of workers that a step needs because of its limit on tasks per worker. */
function minimumWorkersOf({ spec }: Step): number {
	return spec.maximumPerWorker === undefined ? 0 : Math.ceil(spec.count / Math.max(1, spec.maximumPerWorker));
}
