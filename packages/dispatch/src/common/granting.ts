import type { StartPermit } from '@chestnutwheel/platform/common/workerProtocol.js';
import { admissionRefusal, type Refusal } from './admission.js';
import type { CellContext, Emit } from './cellContext.js';
import type { AttemptOutcome, Grant, PlacementRequest } from './dispatchMessages.js';
import { CLOCK_RATE_MARGIN, END_MARGIN_MS, JOB_LEASE_MS, LONGEST_REQUEST_MS } from './dispatchPolicy.js';
import type { HeldGrant } from './grantTable.js';
import type { Place } from './placement.js';
import type { WaitingRequest } from './waitingQueues.js';
import type { HealthChange } from './workerHealth.js';

/** Gives grants and takes note of their ends. */
export interface Granting {
	/** Grants as long as waiting work has a place. */
	schedule(now: number, emit: Emit): void;
	/** A counted task is proved to have ended; `gone` when nothing is known about its outcome. */
	ended(held: HeldGrant, outcome: AttemptOutcome | 'gone', now: number, emit: Emit): void;
}

/** Under which name `explain` finds the decisions on a request or job; the attempts of one request share a prefix. */
export function subjectOf({ kind, requestId }: Pick<PlacementRequest, 'kind' | 'requestId'>): string {
	return `${kind}/${requestId}`;
}

/** Reports a refusal to the entry host and to `explain`. */
export function refuse(
	emit: Emit,
	request: Pick<PlacementRequest, 'requestId' | 'entryHost' | 'queue' | 'kind'>,
	refusal: Refusal,
): void {
	const { requestId, entryHost, queue } = request;
	emit({ type: 'refused', requestId, entryHost, ...refusal });
	emit({
		type: 'explained',
		subject: subjectOf(request),
		reason: refusal.reason,
		details: { kind: refusal.kind, queue },
	});
}

/** Creates the granting step of a cell. */
export function createGranting(context: CellContext): Granting {
	const { cell, waiting, grants, hosts, health, clocks, fair, placement, scheduler, room } = context;
	let granted = 0;

	const reportHealth = (host: string, change: HealthChange | undefined, emit: Emit): void => {
		if (change === undefined) {
			return;
		}
		emit(
			change.type === 'set-aside'
				? { type: 'host-set-aside', host, reason: change.reason }
				: { type: 'host-taken-back', host },
		);
		emit({ type: 'explained', subject: `host/${host}`, reason: change.type, details: { cause: change.reason } });
	};

	const grant = (item: WaitingRequest, place: Place, now: number, emit: Emit): void => {
		const { request } = item;
		const { host } = place.record;
		const { term, until } = context.lease ?? { term: 0, until: 0 };
		waiting.remove(request.requestId);
		// A start after the request's deadline is of no use, and its slot could be counted as free only later.
		const deadline = clocks.startDeadline(host.name, now, Math.min(until, request.deadline));
		if (deadline === undefined) {
			refuse(emit, request, { kind: 'deadline-passed', reason: 'deadline-too-close-to-start' });
			return;
		}
		const grantId = `${cell}.${term}.${++granted}`;
		const isJob = request.kind === 'job';
		const leaseMs = isJob ? JOB_LEASE_MS : Math.floor(Math.min(request.deadline - now, LONGEST_REQUEST_MS));
		const { startByMs, latestStartAt } = deadline;
		const permit: StartPermit = {
			taskId: grantId,
			cell,
			team: item.team,
			queue: request.queue,
			term,
			boot: place.boot,
			startByMs,
			leaseMs,
		};
		const result: Grant = {
			grantId,
			requestId: request.requestId,
			entryHost: request.entryHost,
			host: host.name,
			address: host.address,
			rack: host.rack,
			permit,
		};
		const waitedMs = now - item.enqueuedAt;
		grants.add({
			grantId,
			host: host.name,
			team: item.team,
			queue: request.queue,
			kind: request.kind,
			class: request.class,
			term,
			boot: place.boot,
			grantedAt: now,
			latestStartAt,
			latestEndAt: isJob ? Infinity : latestStartAt + leaseMs * (1 + CLOCK_RATE_MARGIN) + END_MARGIN_MS,
			grant: result,
			waitedMs,
		});
		fair.started(item.team, request.class === 'urgent', now);
		if (place.probe) {
			health.probeStarted(host.name, grantId);
		}
		emit({ type: 'granted', grant: result, waitedMs });
		const reason = place.probe ? 'granted-as-probe' : 'granted';
		emit({ type: 'explained', subject: subjectOf(request), reason, details: { host: host.name, waitedMs } });
	};

	return {
		schedule: (now, emit) => {
			const { state, lease } = context;
			if (state === undefined || lease === undefined || !context.mayGrant(now)) {
				return;
			}
			for (;;) {
				const item = scheduler.next(state, now, lease.until);
				if (item === undefined) {
					return;
				}
				const refusal = admissionRefusal(state, cell, item.request);
				const queue = state.queues[item.request.queue];
				const place = queue && placement.choose(queue, item.request);
				if (refusal !== undefined) {
					waiting.remove(item.request.requestId);
					refuse(emit, item.request, refusal);
				} else if (place === undefined) {
					return;
				} else {
					grant(item, place, now, emit);
				}
			}
		},
		ended: (held, outcome, now, emit) => {
			const { state } = context;
			fair.ended(held.team, held.class === 'urgent', now);
			room.ended(held.grantId);
			const record = hosts.get(held.host);
			reportHealth(held.host, health.probeEnded(held.host, held.grantId, outcome, now), emit);
			if (state !== undefined && record !== undefined && outcome !== 'gone') {
				const closed = [...hosts.records()]
					.filter(other => other.host.pool === record.host.pool && hosts.closedBecause(other) !== undefined)
					.map(other => other.host);
				reportHealth(held.host, health.record(record.host, held.team, outcome, state, closed, now), emit);
			}
		},
	};
}
