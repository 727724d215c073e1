import type { CellContext, Emit } from './cellContext.js';
import { createHostMoves } from './hostMoves.js';

/** What is done when waiting work finds no slot: research is checkpointed, and spare hosts change their pool. */
export interface Relief {
	/** Remembers when an urgent request has waited long enough to displace research. */
	urgentQueued(now: number): void;
	run(now: number, emit: Emit): void;
	/** The next time at which `run` may find something to do; `Infinity` when only a message can. */
	nextAt(): number;
}

/** Wait after which an urgent request without a slot displaces research. */
const DISPLACE_AFTER_MS = 500;

/** Displacements that are due closer together than this are done in one step. */
const DISPLACE_STEP_MS = 20;

/** Full queues and idle spare hosts are looked at this often. */
const OBSERVE_STEP_MS = 1_000;

/** Creates the relief step of a cell. */
export function createRelief(context: CellContext): Relief {
	const { policy, waiting, grants, hosts, placement, scheduler, room } = context;
	const moves = createHostMoves();
	const displaceAt: number[] = [];
	let displacedAt = -Infinity;
	let observedAt = -Infinity;

	const openHosts = (pools: readonly string[], now: number): readonly string[] =>
		[...hosts.records()]
			.filter(record => pools.includes(record.host.pool) && placement.stateOf(record, now) === 'open')
			.map(record => record.host.name);

	const displaceResearch = (now: number, emit: Emit): void => {
		while ((displaceAt[0] ?? Infinity) <= now) {
			displaceAt.shift();
		}
		const { state } = context;
		if (!policy.checkpoints || state === undefined || waiting.size === 0 || now < displacedAt + DISPLACE_STEP_MS) {
			return;
		}
		displacedAt = now;
		const served = new Map<string, { readonly names: readonly string[]; pending: number }>();
		for (const { request } of scheduler.urgentWithoutSlot(state, now - DISPLACE_AFTER_MS, now)) {
			const queue = state.queues[request.queue];
			const pools = queue === undefined ? [] : placement.poolsOf(queue);
			const key = pools.join();
			let group = served.get(key);
			if (group === undefined) {
				const names = openHosts(pools, now);
				group = { names, pending: room.pendingOn(names) };
				served.set(key, group);
			}
			if (group.pending > 0) {
				// A slot that is about to be free already stands for this request.
				group.pending--;
				continue;
			}
			const victim = room.chooseVictim(group.names, now);
			if (victim !== undefined) {
				const reason = `urgent request ${request.requestId} waits for a slot`;
				emit({ type: 'checkpoint-job', grantId: victim.grantId, host: victim.host, reason });
			}
		}
	};

	const moveHosts = (now: number, emit: Emit): void => {
		const { state } = context;
		if (!policy.hostMoves || state === undefined || now < observedAt + OBSERVE_STEP_MS) {
			return;
		}
		observedAt = now;
		const idle = new Map<string, string>();
		for (const record of hosts.records()) {
			const { name, pool } = record.host;
			if (state.pools[pool]?.spare === true && grants.countOfHost(name) === 0) {
				if (placement.stateOf(record, now) === 'open') {
					idle.set(name, pool);
				}
			}
		}
		const move = moves.observe(scheduler.fullQueues(state, now), idle, now);
		if (move !== undefined) {
			const { host, from, to, queue } = move;
			emit({ type: 'move-host', host, from, to, reason: `queue ${queue} found no slot for 60 s` });
		}
	};

	return {
		urgentQueued: now => {
			const at = now + DISPLACE_AFTER_MS;
			if (at - (displaceAt.at(-1) ?? -Infinity) >= DISPLACE_STEP_MS) {
				displaceAt.push(at + DISPLACE_STEP_MS);
			}
		},
		run: (now, emit) => {
			if (context.mayGrant(now)) {
				displaceResearch(now, emit);
				moveHosts(now, emit);
			}
		},
		nextAt: () => {
			const moveAt = Math.max(moves.nextChangeAt() ?? Infinity, observedAt + OBSERVE_STEP_MS);
			return Math.min(displaceAt[0] ?? Infinity, moveAt);
		},
	};
}
