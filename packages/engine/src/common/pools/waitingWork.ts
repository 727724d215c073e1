import { addResources, noResources, scaleResources, type Resources } from '@chestnutwheel/ports/common/resources.js';
import type { EngineContext } from '../engineContext.js';
import type { Step } from '../jobs/job.js';
import { effectiveDemand } from '../scheduling/placement.js';

/** Time for which a waiting service task counts beside tasks that end, in milliseconds. */
const SERVICE_TASK_MS = 1_000;

/**
 * Sums the work of the waiting tasks of each pool, in resources times milliseconds.
 * @param expectedMs returns the time for which a task of a step occupies its resources, in milliseconds
 */
export function waitingWorkByPool(
	{ readySteps, queueTermsOf }: Pick<EngineContext, 'readySteps' | 'queueTermsOf'>,
	expectedMs: (step: Step) => number,
): ReadonlyMap<string, Resources> {
	const byPool = new Map<string, Resources>();
	for (const step of readySteps) {
		const { accepted, state } = step.occurrence.job;
		if (state === 'open' && step.waitingCount > 0) {
			const { pool } = queueTermsOf(accepted);
			const taskMs = step.spec.isLasting ? SERVICE_TASK_MS : expectedMs(step);
			const work = scaleResources(effectiveDemand(step.spec), step.waitingCount * taskMs);
			byPool.set(pool, addResources(byPool.get(pool) ?? noResources, work));
		}
	}
	return byPool;
}
