import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { createEmitter } from '@chestnutwheel/base/common/emitter.js';
import type { SeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import { cellNames } from '@chestnutwheel/configuration/common/cellNames.js';
import type { FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import {
	createLeaseHolder,
	type HeldLease,
	type LeaseCall,
	type LeaseHolder,
} from '@chestnutwheel/membership/common/leaseHolder.js';
import type {
	DaemonIdentity,
	LeaseRelease,
	LeaseRequest,
	LeaseResponse,
} from '@chestnutwheel/membership/common/leaseMessages.js';
import { createLeaseVoter } from '@chestnutwheel/membership/common/leaseVoter.js';
import { majorityOf } from '@chestnutwheel/membership/common/majority.js';
import type { ServeVerdict, ViewFreshness } from '@chestnutwheel/membership/common/viewFreshness.js';
import type { Logger } from 'pino';
import type { CellCalls } from '../peers/cellCalls.js';

/** A change of this daemon's own lease of a cell; `lease` is missing when it was lost. */
export interface LeaseChange {
	readonly cell: string;
	readonly lease: HeldLease | undefined;
}

/** Votes on leases, holds them, and listens to the peers. */
export interface MembershipTask {
	/** The lease that this daemon holds now. Checked again before every decision of a leader. */
	lease(cell: string): HeldLease | undefined;
	/** The entry host that leads a cell, as far as this daemon knows. */
	leaderOf(cell: string): string | undefined;
	mayServe(): ServeVerdict;
	/** Handler of `lease.request`. */
	answer(request: LeaseRequest): LeaseResponse;
	/** Handler of `lease.release`. */
	release(release: LeaseRelease): void;
	/** A term seen at a worker or in the work stream. */
	observeTerm(cell: string, term: number): void;
	/** Gives all leases up, so that successors need not wait for the promises to run out. */
	stop(): Promise<void>;
	/** Whether a majority of the voters of an older set of entry hosts can no longer hold promises of it. */
	mayAcknowledge(entrySetOffset: number): boolean;
	/** Runs until the signal is aborted. */
	run(signal: AbortSignal): Promise<void>;
	listen(listener: (change: LeaseChange) => void, signal: AbortSignal): void;
}

/** What the task needs. */
export interface MembershipTaskOptions {
	readonly identity: DaemonIdentity;
	readonly state: () => FleetState;
	readonly calls: CellCalls;
	readonly freshness: ViewFreshness;
	readonly clock: Clock;
	readonly random: SeededRandom;
	readonly counters: Counters;
	readonly logger: Logger;
	/** Whether the daemon has caught up with the control stream; it votes only then. */
	readonly isCaughtUp: () => boolean;
}

const TICK_MS = 50;
/** Renewals that move the end of the lease by less are not passed on one by one. */
const RENEWAL_STEP_MS = 100;
/** Without a leader, every daemon hears a majority within the 2 s for which a report counts. */
const PEER_STATUS_EVERY_MS = 900;
/** The leader renews every 500 ms; after this silence the peers are asked. */
const LEADER_SILENT_MS = 1_100;
/** A voter that does not answer in time is asked again with the next renewal. */
const LEASE_CALL_TIMEOUT_MS = 450;

/** Creates the task; it does nothing before `run`. */
export function createMembershipTask(options: MembershipTaskOptions): MembershipTask {
	const { identity, state, calls, freshness, clock, random, counters, logger } = options;
	const voter = createLeaseVoter({ identity, startedAt: clock.now() });
	const holders = new Map<string, LeaseHolder>();
	const reported = new Map<string, HeldLease>();
	const changes = createEmitter<LeaseChange>();
	let isStopping = false;
	let leaderHeardAt = -Infinity;

	const entryHostNames = (): string[] => Object.keys(state().entryHosts);

	const holderOf = (cell: string): LeaseHolder => {
		const known = holders.get(cell);
		if (known !== undefined) {
			return known;
		}
		const created = createLeaseHolder({ identity, cell, random });
		holders.set(cell, created);
		return created;
	};

	const publish = (cell: string): void => {
		const lease = holderOf(cell).lease(clock.now());
		const known = reported.get(cell);
		if (known?.term !== lease?.term) {
			logger.info({ cell, term: lease?.term }, lease === undefined ? 'lost the lease of the cell' : 'leads the cell');
			counters.add('lease_changes_total', { change: lease === undefined ? 'lost' : 'gained' });
		} else if (lease === undefined || lease.until - (known?.until ?? 0) < RENEWAL_STEP_MS) {
			return;
		}
		if (lease === undefined) {
			reported.delete(cell);
		} else {
			reported.set(cell, lease);
		}
		changes.emit({ cell, lease });
	};

	const answer = (request: LeaseRequest): LeaseResponse => {
		const now = clock.now();
		freshness.peerOffsetReceived(request.view.configurationOffset, now);
		const response = voter.answer(request, {
			now,
			entrySetOffset: options.isCaughtUp() ? state().entrySetOffset : Number.NaN,
			view: freshness.report(now),
		});
		if (response.promised || response.denial === 'starting') {
			holderOf(request.cell).observeRenewal(request.entryHost, request.term, now);
		}
		if (response.promised && request.entryHost !== identity.entryHost) {
			freshness.leaderContacted(now);
			leaderHeardAt = now;
		}
		return response;
	};

	const release = (released: LeaseRelease): void => {
		const now = clock.now();
		if (voter.release(released, now)) {
			holderOf(released.cell).observeRelease(now);
		}
	};

	const sendLeaseCall = async (cell: string, call: LeaseCall, sentAt: number): Promise<void> => {
		if (call.method === 'lease.release') {
			await calls.toEntryHost(call.to, call.method, call.release, LEASE_CALL_TIMEOUT_MS);
			return;
		}
		const response = await calls.toEntryHost(call.to, call.method, call.request, LEASE_CALL_TIMEOUT_MS);
		const now = clock.now();
		if (call.to !== identity.entryHost) {
			freshness.peerReported(call.to, response.view, sentAt, now);
		}
		holderOf(cell).receive(response, sentAt, now);
		publish(cell);
		tick(cell);
	};

	const send = (cell: string, leaseCalls: readonly LeaseCall[], sentAt: number): Promise<void>[] =>
		leaseCalls.map(call =>
			sendLeaseCall(cell, call, sentAt).catch(() => {
				counters.add('lease_calls_failed_total', { voter: call.to });
			}),
		);

	const tick = (cell: string): void => {
		if (isStopping) {
			return;
		}
		const now = clock.now();
		const context = {
			entryHosts: entryHostNames(),
			entrySetOffset: state().entrySetOffset,
			view: freshness.report(now),
		};
		void Promise.all(send(cell, holderOf(cell).tick(now, context), now));
		publish(cell);
	};

	const runTicks = async (signal: AbortSignal): Promise<void> => {
		while (!signal.aborted) {
			if (options.isCaughtUp()) {
				for (const cell of cellNames(state())) {
					tick(cell);
				}
			}
			await delay(TICK_MS, signal);
		}
	};

	const askPeer = async (name: string): Promise<void> => {
		const sentAt = clock.now();
		const status = await calls.toEntryHost(name, 'control.status', {});
		freshness.peerReported(name, status.view, sentAt, clock.now());
	};

	/**
	 * Asks just enough peers for a majority, in turn, and only while no leader is heard, so that the cost does not grow
	 * with the square of the hosts.
	 */
	const runPeerStatus = async (signal: AbortSignal): Promise<void> => {
		let turn = random.nextInteger(64);
		while (!signal.aborted) {
			const others = entryHostNames().filter(name => name !== identity.entryHost);
			const isLeading = [...holders.values()].some(holder => holder.lease(clock.now()) !== undefined);
			const isLed = isLeading || clock.now() - leaderHeardAt < LEADER_SILENT_MS;
			const count = isLed ? 0 : Math.min(others.length, majorityOf(others.length + 1));
			for (let index = 0; index < count; index++) {
				const name = others[(turn + index) % others.length];
				if (name !== undefined) {
					askPeer(name).catch(() => counters.add('peer_status_failed_total', { peer: name }));
				}
			}
			turn++;
			await delay(PEER_STATUS_EVERY_MS, signal);
		}
	};

	return {
		lease: cell => (isStopping ? undefined : holders.get(cell)?.lease(clock.now())),
		leaderOf: cell =>
			holders.get(cell)?.lease(clock.now()) !== undefined ? identity.entryHost : holders.get(cell)?.observedHolder(),
		mayServe: () => freshness.mayServe(clock.now(), entryHostNames(), identity.entryHost),
		answer,
		release,
		observeTerm: (cell, term) => holderOf(cell).observeTerm(term),
		mayAcknowledge: entrySetOffset => voter.mayAcknowledge(entrySetOffset, clock.now()),
		stop: async () => {
			isStopping = true;
			const now = clock.now();
			const sends = [...holders].flatMap(([cell, holder]) => send(cell, holder.release(), now));
			await Promise.all(sends);
			for (const cell of holders.keys()) {
				publish(cell);
			}
		},
		run: async signal => {
			await Promise.all([runTicks(signal), runPeerStatus(signal)]);
		},
		listen: (listener, signal) => changes.listen(listener, signal),
	};
}
