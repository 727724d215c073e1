import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { createEmitter } from '@chestnutwheel/base/common/emitter.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { DecisionLogger } from '@chestnutwheel/engine/common/engineMessages.js';
import type { FleetPlan, MaintenanceWave } from '@chestnutwheel/ports/common/fleetPlan.js';
import { createEvacuationRequests, type EvacuationRecord } from '../../common/evacuationRequests.js';
import type { FeedOutcome, OperatorEntry, OperatorFeed } from '@chestnutwheel/ports/common/feeds.js';

/**
 * Long-poll time of a read. A read whose response is lost delays changes until it times out, and a plan must take effect
 * within 2 s after the store accepted it.
 */
const LONG_POLL_MS = 800;

/** Delay before a failed read is retried. */
const RETRY_DELAY_MS = 150;

/** Cache of the operator's fleet plan, maintenance waves and evacuations of data centres. A plan is never replaced by an older version. */
export interface PlanCache {
	current(): FleetPlan | undefined;
	waves(): readonly MaintenanceWave[];
	/** Returns the data centres that the operator asks to evacuate. */
	evacuations(): readonly string[];
	/** Returns what is known of all evacuations, also of those that were taken back. */
	evacuationRecords(): readonly EvacuationRecord[];
	/** Highest offset of a known request for an evacuation; -1 if there is none. */
	readonly newestEvacuation: number;
	/** Accepts a plan that a peer has read, if it is newer. */
	offer(plan: FleetPlan): void;
	/** Accepts the waves that a peer has read, as far as they are unknown. */
	offerWaves(waves: readonly MaintenanceWave[]): void;
	/** Accepts the requests for evacuations that a peer has read, as far as they are newer. */
	offerEvacuations(records: readonly EvacuationRecord[]): void;
	onPlanChange(listener: (plan: FleetPlan) => void, signal: AbortSignal): void;
	onWavesChange(listener: (waves: readonly MaintenanceWave[]) => void, signal: AbortSignal): void;
	onEvacuationsChange(listener: (dataCentres: readonly string[]) => void, signal: AbortSignal): void;
	run(signal: AbortSignal): Promise<void>;
}

/** Returns the number of the newest wave that a cache knows; 0 if it knows none. */
export function newestWaveOf(cache: PlanCache): number {
	return Math.max(0, ...cache.waves().map(({ wave }) => wave));
}

/** Creates an empty cache, which is filled from the feed by `run` and from peers by `offer`. */
export function createPlanCache(
	feed: OperatorFeed,
	clock: Clock,
	counters: Counters,
	logDecision: DecisionLogger,
): PlanCache {
	let plan: FleetPlan | undefined;
	const waves = new Map<number, MaintenanceWave>();
	const planChanges = createEmitter<FleetPlan>();
	const waveChanges = createEmitter<readonly MaintenanceWave[]>();
	const evacuations = createEvacuationRequests(() => counters.add('evacuations_turned_away_total'));
	const evacuationChanges = createEmitter<readonly string[]>();

	const offer = (offered: FleetPlan): void => {
		if (plan !== undefined && offered.version <= plan.version) {
			return;
		}
		logDecision('plan-read', { version: offered.version, before: plan?.version });
		counters.set('plan_version', offered.version);
		plan = offered;
		planChanges.emit(offered);
	};

	const offerWave = (wave: MaintenanceWave): void => {
		if (!waves.has(wave.wave)) {
			logDecision('wave-read', { wave: wave.wave, hosts: wave.hosts.length, maximumDown: wave.maximumDown });
			waves.set(wave.wave, wave);
			waveChanges.emit([...waves.values()]);
		}
	};

	const publishEvacuations = (haveChanged: boolean): void => {
		if (haveChanged) {
			const standing = evacuations.standing();
			logDecision('evacuations-read', { dataCentres: standing, offset: evacuations.newestOffset });
			evacuationChanges.emit(standing);
		}
	};

	const apply: {
		readonly [Type in OperatorEntry['type']]: (entry: Extract<OperatorEntry, { type: Type }>, offset: number) => void;
	} = {
		plan: entry => offer(entry.plan),
		wave: ({ wave }) => offerWave(wave),
		evacuation: ({ request }, offset) => publishEvacuations(evacuations.apply([{ ...request, offset }])),
	};

	const applyChanges = (outcome: Extract<FeedOutcome<OperatorEntry>, { type: 'changes' }>): void => {
		for (const { key, offset, value } of outcome.changes) {
			if (value === 'unreadable') {
				counters.add('operator_entries_unreadable_total');
				logDecision('operator-entry-unreadable', { key });
			} else if (value !== undefined) {
				(apply[value.type] as (entry: OperatorEntry, offset: number) => void)(value, offset);
			}
		}
	};

	/** A full read shows which evacuations were taken back while their deletion was not read. */
	const withdrawMissingEvacuations = ({
		end,
		changes,
	}: Extract<FeedOutcome<OperatorEntry>, { type: 'changes' }>): void => {
		const present = changes.flatMap(({ value }) =>
			typeof value === 'object' && value.type === 'evacuation' ? [value.request.dataCentre] : [],
		);
		publishEvacuations(evacuations.applySnapshot(end, new Set(present)));
	};

	return {
		current: () => plan,
		waves: () => [...waves.values()],
		evacuations: () => evacuations.standing(),
		evacuationRecords: () => evacuations.records(),
		get newestEvacuation() {
			return evacuations.newestOffset;
		},
		offer,
		offerEvacuations: records => publishEvacuations(evacuations.applyFromPeer(records)),
		offerWaves: offered => offered.forEach(offerWave),
		onPlanChange: (listener, signal) => planChanges.listen(listener, signal),
		onWavesChange: (listener, signal) => waveChanges.listen(listener, signal),
		onEvacuationsChange: (listener, signal) => evacuationChanges.listen(listener, signal),
		run: async signal => {
			let from: number | undefined;
			let isReadable = true;
			while (!signal.aborted) {
				const sentAt = clock.now();
				const outcome =
					from === undefined ? await feed.snapshot(signal) : await feed.changes(from, LONG_POLL_MS, signal);
				if (outcome.type === 'changes') {
					if (!isReadable) {
						logDecision('store-reached', { by: 'plan' });
					}
					isReadable = true;
					applyChanges(outcome);
					if (from === undefined) {
						withdrawMissingEvacuations(outcome);
					}
					from = outcome.end;
					continue;
				}
				from = outcome.type === 'expired' ? undefined : from;
				if (outcome.type === 'failed') {
					if (isReadable) {
						logDecision('store-lost', {
							by: 'plan',
							reason: outcome.reason,
							afterMs: Math.round(clock.now() - sentAt),
						});
					}
					isReadable = false;
					await delay(RETRY_DELAY_MS, signal);
				}
			}
		},
	};
}
