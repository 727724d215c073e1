import type { RunningTask, WorkerStatus } from '@chestnutwheel/platform/common/workerProtocol.js';
import { createDeadlineHeap } from './deadlineHeap.js';
import type { Grant, WorkClass } from './dispatchMessages.js';
import { END_MARGIN_MS, LONGEST_REQUEST_MS } from './dispatchPolicy.js';

/** Work that runs or may still start, counted against its team and its host. */
export interface HeldGrant {
	readonly grantId: string;
	readonly host: string;
	readonly team: string;
	readonly queue: string;
	readonly kind: 'request' | 'job';
	/** Unknown for work that was granted by an earlier leader. */
	readonly class: WorkClass | undefined;
	readonly term: number;
	/** Boot that the permit names; unknown for work found on a worker. */
	readonly boot: string | undefined;
	readonly grantedAt: number;
	/** After this time on the leader's clock the task can no longer start. */
	readonly latestStartAt: number;
	/** After this time the worker has ended the task by itself; `Infinity` for jobs, whose leases are renewed. */
	readonly latestEndAt: number;
	/** The grant to send again when the same request is asked again. */
	readonly grant: Grant | undefined;
	/** How long the request waited for the grant. */
	readonly waitedMs: number;
}

/** The work that counts as running. A slot is free only when the end of its task is proved. */
export interface GrantTable {
	add(held: HeldGrant): void;
	get(grantId: string): HeldGrant | undefined;
	ofRequest(requestId: string): HeldGrant | undefined;
	ofHost(host: string): Iterable<HeldGrant>;
	all(): Iterable<HeldGrant>;
	countOfHost(host: string): number;
	countOfTeam(team: string): number;
	countOfTeamOnHost(team: string, host: string): number;
	/** The holder proved that the task ended. @returns the grant when it was still counted */
	end(grantId: string, now: number): HeldGrant | undefined;
	/**
	 * The task may run on; the request may be asked again and then gets another grant.
	 * @param jobEndAt when the lease of a job ends, because it is no longer renewed
	 */
	detach(grantId: string, jobEndAt: number): void;
	/** Compares with what a worker says and returns what was freed and what was found. */
	reconcile(cell: string, status: WorkerStatus, requestedAt: number, now: number): Reconciliation;
	/** Adds a grant that an entry host holds, unless its end is known. */
	addReported(grant: Grant, now: number): HeldGrant | undefined;
	/** Bounds the time of jobs whose leases are no longer known to be renewed. */
	boundJobs(latestEndAt: number): void;
	/** Frees work whose latest end has passed. */
	takeExpired(now: number): readonly HeldGrant[];
	earliestExpiry(): number | undefined;
	readonly size: number;
}

/** Outcome of {@link GrantTable.reconcile}. */
export interface Reconciliation {
	readonly freed: readonly HeldGrant[];
	readonly found: readonly HeldGrant[];
}

/** Ends remembered, so that a status asked for before the end does not bring the task back. */
const REMEMBERED_ENDS = 4_096;

/** Creates an empty table. */
export function createGrantTable(): GrantTable {
	const byId = new Map<string, HeldGrant>();
	const byRequest = new Map<string, string>();
	const byHost = new Map<string, Map<string, HeldGrant>>();
	const countByTeam = new Map<string, number>();
	const endedAt = new Map<string, number>();
	const expiries = createDeadlineHeap<HeldGrant>(item => byId.get(item.grantId) !== item);

	const rememberEnd = (grantId: string, now: number): void => {
		endedAt.set(grantId, now);
		if (endedAt.size > REMEMBERED_ENDS) {
			const oldest = endedAt.keys().next();
			if (oldest.done !== true) {
				endedAt.delete(oldest.value);
			}
		}
	};

	const place = (held: HeldGrant): void => {
		byId.set(held.grantId, held);
		let onHost = byHost.get(held.host);
		if (onHost === undefined) {
			onHost = new Map();
			byHost.set(held.host, onHost);
		}
		onHost.set(held.grantId, held);
		if (held.latestEndAt !== Infinity) {
			expiries.push(held.latestEndAt, held);
		}
	};

	const add = (held: HeldGrant): void => {
		place(held);
		countByTeam.set(held.team, (countByTeam.get(held.team) ?? 0) + 1);
		if (held.grant !== undefined) {
			byRequest.set(held.grant.requestId, held.grantId);
		}
	};

	const free = (held: HeldGrant): void => {
		byId.delete(held.grantId);
		expiries.noteDead();
		byHost.get(held.host)?.delete(held.grantId);
		countByTeam.set(held.team, (countByTeam.get(held.team) ?? 1) - 1);
		if (held.grant !== undefined && byRequest.get(held.grant.requestId) === held.grantId) {
			byRequest.delete(held.grant.requestId);
		}
	};

	const found = (host: string, task: RunningTask, now: number): HeldGrant => ({
		grantId: task.taskId,
		host,
		team: task.team,
		queue: task.queue,
		kind: task.kind,
		// Long jobs are always research; the class of a request is known to its own leader alone.
		class: task.kind === 'job' ? 'research' : undefined,
		term: task.term,
		boot: undefined,
		grantedAt: now,
		latestStartAt: now,
		latestEndAt: task.kind === 'job' ? Infinity : now + LONGEST_REQUEST_MS + END_MARGIN_MS,
		grant: undefined,
		waitedMs: 0,
	});

	/** Whether an absent task can neither run nor start any more. */
	const provedGone = (held: HeldGrant, cell: string, status: WorkerStatus, requestedAt: number): boolean =>
		requestedAt > held.latestStartAt ||
		(status.terms[cell] ?? 0) > held.term ||
		(held.boot !== undefined && held.boot !== status.boot && requestedAt >= held.grantedAt);

	return {
		add,
		get: grantId => byId.get(grantId),
		ofRequest: requestId => {
			const grantId = byRequest.get(requestId);
			return grantId === undefined ? undefined : byId.get(grantId);
		},
		ofHost: host => byHost.get(host)?.values() ?? [],
		all: () => byId.values(),
		countOfHost: host => byHost.get(host)?.size ?? 0,
		countOfTeam: team => countByTeam.get(team) ?? 0,
		countOfTeamOnHost: (team, host) => {
			let count = 0;
			for (const held of byHost.get(host)?.values() ?? []) {
				count += held.team === team ? 1 : 0;
			}
			return count;
		},
		end: (grantId, now) => {
			rememberEnd(grantId, now);
			const held = byId.get(grantId);
			if (held !== undefined) {
				free(held);
			}
			return held;
		},
		detach: (grantId, jobEndAt) => {
			const held = byId.get(grantId);
			if (held === undefined) {
				return;
			}
			if (held.grant !== undefined) {
				byRequest.delete(held.grant.requestId);
			}
			expiries.noteDead();
			const isJob = held.kind === 'job';
			place({
				...held,
				grant: undefined,
				latestEndAt: isJob ? Math.min(held.latestEndAt, jobEndAt) : held.latestEndAt,
			});
		},
		reconcile: (cell, status, requestedAt, now) => {
			const shown = new Set(status.running.map(task => task.taskId));
			const freed = [...(byHost.get(status.host)?.values() ?? [])].filter(
				held => !shown.has(held.grantId) && provedGone(held, cell, status, requestedAt),
			);
			freed.forEach(free);
			const added: HeldGrant[] = [];
			for (const task of status.running) {
				if (!byId.has(task.taskId) && (endedAt.get(task.taskId) ?? -Infinity) < requestedAt) {
					const held = found(status.host, task, now);
					add(held);
					added.push(held);
				}
			}
			return { freed, found: added };
		},
		addReported: (grant, now) => {
			if (byId.has(grant.grantId) || endedAt.has(grant.grantId)) {
				return undefined;
			}
			const held: HeldGrant = {
				grantId: grant.grantId,
				host: grant.host,
				team: grant.permit.team,
				queue: grant.permit.queue,
				kind: 'request',
				class: undefined,
				term: grant.permit.term,
				boot: grant.permit.boot,
				grantedAt: now,
				latestStartAt: now,
				latestEndAt: now + LONGEST_REQUEST_MS + END_MARGIN_MS,
				grant,
				waitedMs: 0,
			};
			add(held);
			return held;
		},
		boundJobs: latestEndAt => {
			for (const held of [...byId.values()]) {
				if (held.latestEndAt === Infinity) {
					place({ ...held, latestEndAt });
				}
			}
		},
		takeExpired: now => {
			const expired = expiries.takeUntil(now);
			expired.forEach(free);
			return expired;
		},
		earliestExpiry: () => expiries.earliestAt(),
		get size() {
			return byId.size;
		},
	};
}
