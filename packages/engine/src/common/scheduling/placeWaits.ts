import {
	addResources,
	fitsInto,
	noResources,
	scaleResources,
	subtractResources,
	type Resources,
} from '@chestnutwheel/ports/common/resources.js';
import type { EngineContext } from '../engineContext.js';
import type { HostOrder } from '../hosts/hostRegistry.js';
import type { Step, Task, TaskRun } from '../jobs/job.js';
import { demandOnWorker } from '../workers/workerTable.js';
import { effectiveDemand, hasRequiredLabel, type SchedulableWorker } from './placement.js';
import { createPlaceForecast, type ForecastWorker, type PlaceForecast } from './placeForecast.js';
import { decidePlaceWait, type PlaceWaitDecision } from './placeWait.js';
import { createRackDemand, type RackWork } from './rackDemand.js';
import { expectedRemainingMs } from './remainingTime.js';
import { stepUrgency } from './stepUrgency.js';

/** Multiple of the usual time of a move after which a host that is away counts as overdue. */
const OVERDUE_MOVES = 2;

/** The steps and workers of one pool in a scheduling pass. */
export interface PlaceWaitPool {
	readonly name: string;
	readonly workers: readonly SchedulableWorker[];
	readonly steps: readonly Step[];
}

/** Decides for tasks with a preferred rack whether they wait for a place there or start in another one. */
export interface PlaceWaits {
	/** Begins the pass over a pool, whose forecasts are made anew. */
	beginPool(pool: PlaceWaitPool, now: number): void;
	/**
	 * Decides whether a task, or all members of the gang of the task, should wait for one of some racks, each of which would do.
	 * The decision holds for the whole pass.
	 */
	decide(task: Task, racks: readonly string[], now: number): PlaceWaitDecision;
	/** Returns the decision of this pass on a task; `undefined` if none was needed. */
	decisionOf(task: Task): PlaceWaitDecision | undefined;
	/** Records the start of a task or of all members of its gang on some workers, which ends the wait. */
	recordStart(task: Task, chosen: readonly SchedulableWorker[], now: number): void;
}

/** Whether a run is known to work in another rack than the one that holds the data of its task, and so takes longer. */
export function isAwayFromData({ spec }: Step, rack: string | undefined): boolean {
	return spec.dataRack !== undefined && rack !== undefined && rack !== spec.dataRack;
}

/** Creates the component that decides how long tasks wait for a place near their data or their group. */
export function createPlaceWaits(context: EngineContext): PlaceWaits {
	const { counters, durations, settings } = context;
	let pool: PlaceWaitPool = { name: '', workers: [], steps: [] };
	/** Forecasts of this pass, by rack and required label. */
	const forecasts = new Map<string, PlaceForecast>();
	let isContended: boolean | undefined;
	/** Decisions of this pass. */
	const decisions = new Map<Task, PlaceWaitDecision>();
	const rackDemand = createRackDemand();
	/** Work of the steps that has been counted as demand for their racks. */
	const countedWork = new WeakMap<Step, RackWork>();
	/** Time at which each task that waits for its place began to do so. */
	const waitingSince = new WeakMap<Task, number>();

	const expectedMsOf = (step: Step): number =>
		durations.expectedMs(step.occurrence.job.accepted.queue, step.spec.estimateMs);

	const expectedRunMs = (run: TaskRun, rack: string): number =>
		expectedMsOf(run.task.step) * (isAwayFromData(run.task.step, rack) ? settings.farFactor : 1);

	const forecastOf = ({ state, resources, rack }: SchedulableWorker, now: number): ForecastWorker => ({
		resources,
		availableAt: now,
		uses: [...state.runs.values()].map(run => ({
			demand: demandOnWorker(run),
			from: now,
			until: now + expectedRemainingMs(run, expectedRunMs(run, rack), now),
		})),
	});

	/** Returns the pool that the host of an order will serve. */
	const destinationOf = ({ host, action }: HostOrder): string | undefined =>
		action.type === 'move' ? action.pool : context.hosts.hosts.get(host)?.pool;

	/** Whether a host has been away for so much longer than usual that its arrival is not to be counted on. */
	const isOverdue = ({ phase, phaseSince }: HostOrder, now: number): boolean =>
		phase === 'away' && now > phaseSince + OVERDUE_MOVES * context.moveTime.medianMs;

	const hostsOnTheirWay = (rack: string, label: string | undefined, now: number): readonly ForecastWorker[] =>
		[...context.hosts.orders.values()].flatMap(order => {
			const host = context.hosts.hosts.get(order.host);
			return host === undefined ||
				order.phase === 'emptying' ||
				isOverdue(order, now) ||
				destinationOf(order) !== pool.name ||
				!host.labels.includes(rack) ||
				(label !== undefined && !host.labels.includes(label))
				? []
				: [
						{
							resources: host.resources,
							availableAt: Math.max(now, (order.phase === 'away' ? order.phaseSince : now) + context.moveTime.medianMs),
							uses: [],
						},
					];
		});

	const forecastFor = (step: Step, rack: string, now: number): PlaceForecast => {
		const label = step.spec.requiredLabel;
		const key = `${rack} ${label ?? ''}`;
		const known = forecasts.get(key);
		if (known !== undefined) {
			return known;
		}
		const forecast = createPlaceForecast([
			...pool.workers
				.filter(worker => worker.rack === rack && hasRequiredLabel(step.spec, worker))
				.map(worker => forecastOf(worker, now)),
			...hostsOnTheirWay(rack, label, now),
		]);
		forecasts.set(key, forecast);
		return forecast;
	};

	/** Whether the tasks that may run in any rack need more resources than the workers have free. */
	const isPoolContended = (): boolean => {
		const waiting = pool.steps
			.filter(({ spec }) => spec.dataRack === undefined && !spec.sameRack)
			.reduce(
				(sum, { spec, waitingCount }) => addResources(sum, scaleResources(effectiveDemand(spec), waitingCount)),
				noResources,
			);
		const free = pool.workers.reduce(
			(sum, { state, resources }) => addResources(sum, subtractResources(resources, state.usedResources)),
			noResources,
		);
		return !fitsInto(waiting, free);
	};

	const rackCapacity = (rack: string, now: number): Resources =>
		[...pool.workers.filter(worker => worker.rack === rack), ...hostsOnTheirWay(rack, undefined, now)].reduce(
			(sum, { resources }) => addResources(sum, resources),
			noResources,
		);

	/** Counts the work of a step once. What was ready before this term says nothing about the rate of newcomers. */
	const countDemand = (step: Step, now: number): void => {
		const { dataRack } = step.spec;
		const readySince = step.tasks.find(({ state }) => state === 'waiting')?.readySince ?? now;
		if (dataRack !== undefined && !countedWork.has(step) && readySince >= context.termBeganAt) {
			const durationMs = expectedMsOf(step);
			const work = scaleResources(effectiveDemand(step.spec), step.waitingCount * durationMs);
			const counted = { work, durationMs, at: now };
			countedWork.set(step, counted);
			rackDemand.record(`${pool.name} ${dataRack}`, counted);
		}
	};

	/** Returns the share of the emptiest of the racks that newcomers keep busy. */
	const newcomerShare = (step: Step, racks: readonly string[], now: number): number =>
		Math.min(
			...racks.map(rack => {
				const own = rack === step.spec.dataRack ? countedWork.get(step) : undefined;
				return rackDemand.utilisation(`${pool.name} ${rack}`, rackCapacity(rack, now), own, now);
			}),
		);

	const decide: PlaceWaits['decide'] = ({ step, readySince }, racks, now) => {
		const count = step.spec.isGang ? step.tasks.length : 1;
		const durationMs = expectedMsOf(step);
		const { maximumPerWorker } = step.spec;
		const request = { demand: effectiveDemand(step.spec), count, maximumPerWorker, durationMs };
		const places = racks.map(rack => {
			const forecast = forecastFor(step, rack, now);
			return { forecast, at: forecast.earliest(request, now) };
		});
		const best = places.reduce((first, other) => (other.at < first.at ? other : first));
		isContended ??= isPoolContended();
		const urgency = stepUrgency(step, step.occurrence.job.timing, context.startDelay.averageMs, now);
		const decision = decidePlaceWait({
			now,
			readySince,
			placeFreeAt: best.at,
			durationMs,
			farFactor: settings.farFactor,
			latestStart: urgency.deadlineClass === 'objective' ? urgency.latestStart : -Infinity,
			newcomerShare: newcomerShare(step, racks, now),
			isPoolContended: isContended,
		});
		if (decision.type === 'wait') {
			best.forecast.reserve(request, best.at);
		}
		return decision;
	};

	return {
		beginPool: (begun, now) => {
			pool = begun;
			pool.steps.forEach(step => countDemand(step, now));
			forecasts.clear();
			isContended = undefined;
			decisions.clear();
		},
		decide: (task, racks, now) => {
			const known = decisions.get(task);
			if (known !== undefined) {
				return known;
			}
			const decision = decide(task, racks, now);
			decisions.set(task, decision);
			if (decision.type !== 'wait') {
				counters.add('place_starts_elsewhere_total', { reason: decision.reason });
			} else if (!waitingSince.has(task)) {
				waitingSince.set(task, now);
			}
			return decision;
		},
		decisionOf: task => decisions.get(task),
		recordStart: (task, chosen, now) => {
			const since = waitingSince.get(task);
			if (since === undefined) {
				return;
			}
			waitingSince.delete(task);
			const isAtPlace =
				!chosen.some(({ rack }) => isAwayFromData(task.step, rack)) &&
				(!task.step.spec.sameRack || new Set(chosen.map(({ rack }) => rack)).size === 1);
			const waitedMs = Math.round(now - since);
			const gainMs = isAtPlace ? Math.round((settings.farFactor - 1) * expectedMsOf(task.step)) - waitedMs : -waitedMs;
			const outcome = isAtPlace ? 'at-place' : 'elsewhere';
			counters.add('place_waits_total', { outcome });
			counters.add(gainMs < 0 ? 'place_wait_lost_ms_total' : 'place_wait_won_ms_total', undefined, Math.abs(gainMs));
			context.logDecision('place-wait-ended', { task: task.name, outcome, waitedMs, gainMs });
		},
	};
}
