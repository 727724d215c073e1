import type { FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import { admissionRefusal } from './admission.js';
import { createCellContext, type DispatcherOptions, type Emit } from './cellContext.js';
import type { DispatchEffect, DispatchMessage, Dispatcher } from './dispatchMessages.js';
import { CLOCK_RATE_MARGIN, END_MARGIN_MS, JOB_LEASE_MS, LONGEST_REQUEST_MS } from './dispatchPolicy.js';
import { createGranting, refuse, subjectOf } from './granting.js';
import { createRelief } from './relief.js';
import { OPEN_SHARE, OPEN_TEAM, teamName } from './teamName.js';
import type { WaitingRequest } from './waitingQueues.js';

type HandlerTable = {
	readonly [Type in DispatchMessage['type']]: (
		message: Extract<DispatchMessage, { type: Type }>,
		now: number,
		emit: Emit,
	) => void;
};

/** Creates the dispatcher of one cell. It grants nothing before it has been told a configuration and a lease. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
	const context = createCellContext(options);
	const { cell, waiting, grants, takeover, hosts, clocks, health, fair, placement, scheduler, room, polls } = context;
	const granting = createGranting(context);
	const relief = createRelief(context);
	let readyReported = false;
	let lastNow = 0;

	const configure = (next: FleetState, now: number, emit: Emit): void => {
		context.state = next;
		const { added } = hosts.configure(next, now);
		placement.setSparePools(new Set(Object.keys(next.pools).filter(pool => next.pools[pool]?.spare === true)));
		placement.refresh();
		const teams = Object.values(next.teams);
		const open = { name: OPEN_TEAM, organisation: OPEN_TEAM, share: OPEN_SHARE };
		const slots = [...hosts.records()].reduce((sum, record) => sum + record.host.slots, 0);
		const hasOpenQueue = Object.values(next.queues).some(queue => queue.open);
		fair.configure(hasOpenQueue ? [...teams, open] : teams, slots, now);
		if (added.length > 0) {
			polls.hostsAdded();
		}
		for (const host of added) {
			takeover.addHost(host);
		}
		for (const { request } of [...waiting.all()]) {
			const refusal = admissionRefusal(next, cell, request);
			if (refusal !== undefined) {
				waiting.remove(request.requestId);
				refuse(emit, request, refusal);
			}
		}
	};

	const advance = (now: number, emit: Emit): void => {
		const { lease } = context;
		if (lease === undefined) {
			return;
		}
		for (const { request } of waiting.takeExpired(now)) {
			refuse(emit, request, { kind: 'deadline-passed', reason: 'deadline-passed-while-waiting' });
		}
		for (const held of grants.takeExpired(now)) {
			granting.ended(held, 'gone', now, emit);
		}
		if (now < lease.until) {
			polls.due(now).forEach(emit);
		}
		granting.schedule(now, emit);
		relief.run(now, emit);
		if (!readyReported && context.mayGrant(now)) {
			readyReported = true;
			const inDoubt = takeover.inDoubt(now).length;
			emit({
				type: 'explained',
				subject: `cell/${cell}`,
				reason: 'takeover-ready',
				details: { term: lease.term, inDoubt },
			});
		}
	};

	const takeOver = (term: number, now: number, emit: Emit): void => {
		const entryHosts = Object.keys(context.state?.entryHosts ?? {});
		takeover.begin(term, now, hosts.mayRunWork(now), entryHosts);
		grants.boundJobs(now + LONGEST_REQUEST_MS * (1 + CLOCK_RATE_MARGIN) + END_MARGIN_MS);
		polls.restart();
		readyReported = false;
		for (const entryHost of entryHosts) {
			emit({ type: 'ask-entry-host', entryHost, term });
		}
	};

	const enqueue = (item: WaitingRequest, bound: number, now: number, emit: Emit): void => {
		const { request } = item;
		if (waiting.countOfQueue(request.queue) >= bound) {
			const pushedOut = waiting.givesWay(item);
			const reason = pushedOut === undefined ? 'queue-at-its-bound' : 'pushed-out-of-full-queue';
			refuse(emit, pushedOut?.request ?? request, { kind: 'queue-full', reason });
			if (pushedOut === undefined) {
				return;
			}
			waiting.remove(pushedOut.request.requestId);
		}
		waiting.add(item);
		if (request.class === 'urgent') {
			relief.urgentQueued(now);
		}
	};

	const explainWait = (requestId: string, now: number, emit: Emit): void => {
		const item = waiting.find(requestId);
		if (item === undefined) {
			return;
		}
		const { queue } = item.request;
		const limit = context.state?.teams[item.team]?.limit;
		const counted = scheduler.countedFor(item.team, now);
		const slotReason =
			context.state !== undefined && scheduler.hasPlace(context.state, item.request)
				? 'waits-for-turn'
				: 'waits-for-slot';
		const reason = !context.mayGrant(now)
			? 'waits-for-takeover'
			: limit !== undefined && counted >= limit
				? 'waits-for-limit'
				: slotReason;
		const details = { queue, counted, limit: limit ?? 'none', waiting: waiting.countOfQueue(queue) };
		emit({ type: 'explained', subject: subjectOf(item.request), reason, details });
	};

	const handlers: HandlerTable = {
		configuration: (message, now, emit) => configure(message.state, now, emit),
		'lease-held': ({ term, until }, now, emit) => {
			const isNew = context.lease?.term !== term;
			const known = context.lease;
			context.lease = { term, until: isNew ? until : Math.max(until, known?.until ?? until) };
			if (isNew) {
				takeOver(term, now, emit);
			}
		},
		'lease-lost': () => {
			context.lease = undefined;
			takeover.end();
			// The entry hosts ask the next leader again; nothing that waits here has run.
			waiting.clear();
			room.clear();
		},
		'entry-report': ({ entryHost, term, grants: reported }, now) => {
			for (const grantHeld of context.lease?.term === term ? reported : []) {
				// A fenced worker has said what runs there; grants of older terms can no longer start on it.
				const fenced = takeover.fenceState(grantHeld.host, now) === 'fenced';
				const held = fenced ? undefined : grants.addReported(grantHeld, now);
				if (held !== undefined) {
					fair.started(held.team, held.class === 'urgent', now);
				}
			}
			takeover.entryAnswered(entryHost, term);
		},
		'entry-silent': ({ entryHost, term }) => takeover.entryAnswered(entryHost, term),
		'worker-status': ({ host, status, requestedAt }, now, emit) => {
			const record = hosts.get(host);
			if (context.lease === undefined || (record !== undefined && requestedAt < record.statusRequestedAt)) {
				return;
			}
			if (record !== undefined) {
				if (record.boot !== undefined && record.boot !== status.boot) {
					health.forget(host);
				}
				record.boot = status.boot;
				record.reportedSlots = status.slots;
				record.workerDraining = status.draining;
				record.unreachable = false;
				record.statusRequestedAt = requestedAt;
				clocks.sample(host, status.clockMs, requestedAt, now);
			}
			takeover.workerAnswered(host, status.terms[cell] ?? 0);
			const { freed, found } = grants.reconcile(cell, status, requestedAt, now);
			for (const held of freed) {
				granting.ended(held, 'gone', now, emit);
			}
			for (const held of found) {
				fair.started(held.team, held.class === 'urgent', now);
			}
		},
		'worker-unreachable': ({ host }) => {
			const record = hosts.get(host);
			if (record !== undefined) {
				record.unreachable = true;
			}
			takeover.workerSilent(host);
		},
		'host-list': message => hosts.setListed(message.hosts),
		'drained-hosts': message => hosts.setDrained(message.hosts),
		request: ({ request }, now, emit) => {
			const { lease, state } = context;
			const held = grants.ofRequest(request.requestId);
			if (lease === undefined || now >= lease.until) {
				refuse(emit, request, { kind: 'no-leader', reason: 'lease-not-held' });
			} else if (held?.grant !== undefined) {
				emit({ type: 'granted', grant: held.grant, waitedMs: held.waitedMs });
			} else if (waiting.find(request.requestId) !== undefined) {
				return;
			} else if (request.deadline <= now) {
				refuse(emit, request, { kind: 'deadline-passed', reason: 'deadline-passed-on-arrival' });
			} else if (state === undefined) {
				refuse(emit, request, { kind: 'not-ready', reason: 'configuration-unknown' });
			} else {
				const refusal = admissionRefusal(state, cell, request);
				const bound = state.queues[request.queue]?.maximumWaiting ?? 0;
				const item = { request, team: teamName(request.team), enqueuedAt: now };
				if (refusal !== undefined) {
					refuse(emit, request, refusal);
				} else {
					enqueue(item, bound, now, emit);
				}
			}
		},
		cancel: ({ requestId }, _now, emit) => {
			const item = waiting.remove(requestId);
			const held = grants.ofRequest(requestId);
			if (item !== undefined) {
				refuse(emit, item.request, { kind: 'cancelled', reason: 'cancelled-while-waiting' });
			} else if (held !== undefined) {
				emit({ type: 'stop-task', grantId: held.grantId, host: held.host });
			}
		},
		finished: ({ grantId, outcome }, now, emit) => {
			const known = grants.get(grantId);
			if (outcome === 'unknown') {
				// The last lease of a job ends within one lease of the report; a request keeps the end in its grant.
				grants.detach(grantId, now + JOB_LEASE_MS * (1 + CLOCK_RATE_MARGIN) + END_MARGIN_MS);
				if (known !== undefined) {
					polls.askSoon(known.host, known.latestStartAt);
				}
				return;
			}
			const held = grants.end(grantId, now);
			if (held !== undefined) {
				granting.ended(held, outcome, now, emit);
			}
		},
		tick: () => undefined,
	};

	const dispatch = <Type extends DispatchMessage['type']>(
		type: Type,
		message: Extract<DispatchMessage, { type: Type }>,
		now: number,
		emit: Emit,
	): void => handlers[type](message, now, emit);

	return {
		handle: (message, now) => {
			const effects: DispatchEffect[] = [];
			const emit: Emit = effect => {
				effects.push(effect);
			};
			lastNow = now;
			dispatch(message.type, message, now, emit);
			advance(now, emit);
			if (message.type === 'request') {
				explainWait(message.request.requestId, now, emit);
			}
			return effects;
		},
		nextTickAt: () => {
			if (context.lease === undefined) {
				return undefined;
			}
			const times = [
				lastNow < context.lease.until ? polls.nextAt() : undefined,
				waiting.earliestDeadline(),
				grants.earliestExpiry(),
				takeover.nextChangeAt(lastNow),
				health.nextProbeAt(lastNow),
				relief.nextAt(),
			];
			// What was due has been done; a tick at the same time again would find nothing.
			const earliest = Math.min(...times.map(at => at ?? Infinity));
			return earliest === Infinity ? undefined : Math.max(lastNow + 1, earliest);
		},
		overview: now => ({
			cell,
			ready: context.mayGrant(now),
			term: context.lease?.term ?? 0,
			waitingByQueue: Object.fromEntries(
				Object.keys(context.state?.queues ?? {}).map(queue => [queue, waiting.countOfQueue(queue)]),
			),
			runningByTeam: Object.fromEntries(
				Object.keys(fair.slotMs(now))
					.map(team => [team, grants.countOfTeam(team)] as const)
					.filter(([, count]) => count > 0),
			),
			slotMsByTeam: fair.slotMs(now),
			hosts: Object.fromEntries(
				[...hosts.records()].map(record => {
					const hostState = placement.stateOf(record, now);
					const running = grants.countOfHost(record.host.name);
					const reason = (hostState === 'set-aside' ? health.reasonOf(record.host.name) : undefined) ?? hostState;
					return [record.host.name, { state: hostState, reason, running, slots: placement.slotsOf(record) }];
				}),
			),
		}),
	};
}
