import type { ErrorKind } from '@chestnutwheel/base/common/errorKinds.js';
import type { FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import { fairIdeal } from './fairIdeal.js';
import { shareErrors, type ShareErrors, type ShareSample } from './shareErrors.js';
import type { TraceItem } from './workload.js';

/** Figures of one replay. Times are in milliseconds. */
export interface ReplayFigures {
	readonly shareError10s: ShareErrors;
	readonly shareError60s: ShareErrors;
	readonly urgentP50: number;
	readonly urgentP99: number;
	readonly urgentWorst: number;
	readonly urgentNotStarted: number;
	/** Ended by the worker at the deadline, before it was done. */
	readonly late: number;
	/** Attempts that followed a failed or refused one. */
	readonly retries: number;
	/** Refused or given up at the deadline while it waited. */
	readonly dropped: Readonly<Record<string, number>>;
	readonly completed: number;
	readonly failed: number;
	readonly lostWithHosts: number;
	/** Mean idle slots over the samples in which nothing waited. */
	readonly bufferSlots: number;
	/** Mean idle slots over the samples in which something waited. */
	readonly idleWhileWaitingSlots: number;
	readonly moves: number;
	readonly firstMoveAt: number | undefined;
	readonly checkpoints: number;
	readonly lostWorkMs: number;
	/** Slot time that ended well. */
	readonly usefulSlotMs: number;
	readonly setAsides: number;
	readonly decisions: number;
	readonly decisionMicroseconds: number;
}

/** Takes note of what happens in a replay. */
export interface Measures {
	configured(state: FleetState): void;
	waits(item: TraceItem): void;
	granted(item: TraceItem): void;
	started(item: TraceItem, now: number): void;
	lapsed(): void;
	retried(): void;
	ended(item: TraceItem, now: number): void;
	completed(item: TraceItem): void;
	failed(item: TraceItem): void;
	refused(item: TraceItem, kind: ErrorKind): void;
	lost(item: TraceItem, now: number): void;
	checkpointed(item: TraceItem, lostMs: number, now: number): void;
	moved(now: number): void;
	setAside(): void;
	hostDown(host: string): void;
	decision(type: string, milliseconds: number): void;
	sample(now: number): void;
	figures(now: number): ReplayFigures;
}

/** Counts by team and queue. */
type Counts = Map<string, Map<string, number>>;

const FULL_FRACTION = 0.97;

function change(counts: Counts, item: TraceItem, amount: number): void {
	const byQueue = counts.get(item.team) ?? new Map<string, number>();
	byQueue.set(item.queue, (byQueue.get(item.queue) ?? 0) + amount);
	counts.set(item.team, byQueue);
}

const sum = (values: Iterable<number>): number => [...values].reduce((total, value) => total + value, 0);

function percentile(sorted: readonly number[], fraction: number): number {
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
}

/** Creates measures without figures. */
export function createMeasures(): Measures {
	const waiting: Counts = new Map();
	const holding: Counts = new Map();
	const down = new Set<string>();
	const urgentStarts: number[] = [];
	const startedOnce = new Set<string>();
	const urgentAsked = new Map<string, number>();
	const samples: ShareSample[] = [];
	const dropped: Record<string, number> = {};
	const idle = { whileNothingWaits: 0, samplesNothingWaits: 0, whileWaiting: 0, samplesWaiting: 0 };
	const count = {
		late: 0,
		retries: 0,
		completed: 0,
		failed: 0,
		lost: 0,
		moves: 0,
		checkpoints: 0,
		setAsides: 0,
		decisions: 0,
	};
	let firstMoveAt: number | undefined;
	let lostWorkMs = 0;
	let usefulSlotMs = 0;
	let decisionMs = 0;
	let state: FleetState | undefined;
	/** Slot-milliseconds held by team, charged from grant to end. */
	const heldMs = new Map<string, { total: number; at: number }>();

	const teamTotal = (counts: Counts, team: string): number => sum(counts.get(team)?.values() ?? []);
	const charge = (team: string, at: number): void => {
		const entry = heldMs.get(team) ?? { total: 0, at };
		entry.total += teamTotal(holding, team) * (at - entry.at);
		entry.at = at;
		heldMs.set(team, entry);
	};
	const hold = (item: TraceItem, amount: number, at: number): void => {
		charge(item.team, at);
		change(holding, item, amount);
	};

	return {
		configured: next => {
			state = next;
		},
		waits: item => {
			change(waiting, item, 1);
			if (item.class === 'urgent' && !startedOnce.has(item.id)) {
				urgentAsked.set(item.id, item.at);
			}
		},
		granted: item => change(waiting, item, -1),
		started: (item, at) => {
			hold(item, 1, at);
			if (item.class === 'urgent' && !startedOnce.has(item.id)) {
				startedOnce.add(item.id);
				urgentAsked.delete(item.id);
				urgentStarts.push(at - item.at);
			}
		},
		lapsed: () => {
			count.late++;
		},
		retried: () => {
			count.retries++;
		},
		ended: (item, at) => hold(item, -1, at),
		completed: item => {
			count.completed++;
			usefulSlotMs += item.runMs;
		},
		failed: () => {
			count.failed++;
		},
		refused: (item, kind) => {
			change(waiting, item, -1);
			const label = item.class === 'urgent' ? `urgent ${kind}` : kind;
			dropped[label] = (dropped[label] ?? 0) + 1;
		},
		lost: (item, at) => {
			hold(item, -1, at);
			count.lost++;
		},
		checkpointed: (item, lostMs, at) => {
			hold(item, -1, at);
			count.checkpoints++;
			lostWorkMs += lostMs;
		},
		moved: at => {
			count.moves++;
			firstMoveAt ??= at;
		},
		setAside: () => {
			count.setAsides++;
		},
		hostDown: host => {
			down.add(host);
		},
		decision: (_type, milliseconds) => {
			count.decisions++;
			decisionMs += milliseconds;
		},
		sample: at => {
			if (state === undefined) {
				return;
			}
			const freeByPool = new Map<string, number>();
			for (const host of Object.values(state.hosts).filter(other => !down.has(other.name))) {
				freeByPool.set(host.pool, (freeByPool.get(host.pool) ?? 0) + host.slots);
			}
			const slots = sum(freeByPool.values());
			const held = sum([...holding.keys()].map(team => teamTotal(holding, team)));
			const waits = sum([...waiting.keys()].map(team => teamTotal(waiting, team)));
			if (waits > 0) {
				idle.samplesWaiting++;
				idle.whileWaiting += slots - held;
			} else {
				idle.samplesNothingWaits++;
				idle.whileNothingWaits += slots - held;
			}
			const full = waits > 0 && held >= FULL_FRACTION * slots;
			const demand = new Map<string, Map<string, number>>();
			for (const counts of [waiting, holding]) {
				for (const [team, byQueue] of counts) {
					const merged = demand.get(team) ?? new Map<string, number>();
					for (const [queue, amount] of byQueue) {
						merged.set(queue, (merged.get(queue) ?? 0) + amount);
					}
					demand.set(team, merged);
				}
			}
			const heldSoFar = new Map<string, number>();
			for (const team of heldMs.keys()) {
				charge(team, at);
				heldSoFar.set(team, heldMs.get(team)?.total ?? 0);
			}
			samples.push({
				at,
				full,
				ideal: full ? fairIdeal(state, demand, freeByPool) : new Map(),
				heldMs: heldSoFar,
				backlogged: new Set([...waiting.keys()].filter(team => teamTotal(waiting, team) > 0)),
			});
		},
		figures: at => {
			// Urgent work that never started counts with the time that it has waited.
			const starts = [...urgentStarts].sort((left, right) => left - right);
			const open = [...urgentAsked.values()].map(asked => at - asked);
			return {
				shareError10s: shareErrors(samples, 10_000),
				shareError60s: shareErrors(samples, 60_000),
				urgentP50: percentile(starts, 0.5),
				urgentP99: percentile(starts, 0.99),
				urgentWorst: starts.at(-1) ?? 0,
				urgentNotStarted: open.length,
				late: count.late,
				retries: count.retries,
				dropped,
				completed: count.completed,
				failed: count.failed,
				lostWithHosts: count.lost,
				bufferSlots: idle.whileNothingWaits / Math.max(1, idle.samplesNothingWaits),
				idleWhileWaitingSlots: idle.whileWaiting / Math.max(1, idle.samplesWaiting),
				moves: count.moves,
				firstMoveAt,
				checkpoints: count.checkpoints,
				lostWorkMs,
				usefulSlotMs,
				setAsides: count.setAsides,
				decisions: count.decisions,
				decisionMicroseconds: (decisionMs * 1_000) / Math.max(1, count.decisions),
			};
		},
	};
}
