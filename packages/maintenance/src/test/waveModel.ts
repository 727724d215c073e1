import { createSeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import type { Host, Pool, Wave } from '@chestnutwheel/configuration/common/fleetState.js';
import { createWaveDriver, type WaveDriver } from '../common/waveDriver.js';
import type { WaveEffect, WaveMessage } from '../common/waveMessages.js';
import { claimedIn, fakeFold, isEnded, fakeState, type FakeRecord, type FakeState } from './fakeFold.js';
import { createModelHosts, type ModelHosts } from './modelHosts.js';
import { realFold, realState } from './realFold.js';
import { createWaveChecks, type WaveChecks } from './waveChecks.js';

/** Something that goes wrong, or that an operator does. `target` selects a host, a rack or a wave by its index. */
export interface Fault {
	readonly kind: keyof typeof faultActions;
	readonly at: number;
	readonly forMs: number;
	readonly target: number;
}

/** One run of the model. */
export interface ModelRun {
	readonly seed: number;
	readonly pools: readonly Pool[];
	readonly hosts: readonly Host[];
	readonly waves: readonly Wave[];
	readonly faults: readonly Fault[];
	readonly rebootMs: number;
	readonly listLagMs: number;
	readonly drainSurvivesReboot: boolean;
	/** Part of the append answers that are lost. */
	readonly lostAnswers: number;
	readonly endAt: number;
	/** Use the fold of the accepted state instead of the small one. */
	readonly useRealFold?: boolean;
}

/** What a run shows. */
export interface ModelResult {
	readonly checks: WaveChecks;
	readonly state: FakeState;
	readonly standings: ReadonlyMap<string, string>;
	readonly endedAt: number;
	readonly leaderChanges: number;
	/** Types of the accepted records, in order. */
	readonly accepted: readonly FakeRecord['type'][];
	readonly refusedClaims: number;
}

interface Daemon {
	readonly driver: WaveDriver;
	pausedUntil: number;
	inbox: WaveMessage[];
	stopWorkOn: ReadonlySet<string> | undefined;
	nextPoll: Map<string, number>;
}

const STEP_MS = 500;
const LEASE_MS = 1_470;

interface World {
	readonly hosts: ModelHosts;
	readonly names: readonly string[];
	readonly leader: () => Daemon;
	readonly append: (record: FakeRecord, now: number) => void;
	readonly state: () => FakeState;
	logOutUntil: number;
	readonly later: (at: number, run: (now: number) => void) => void;
}

const faultActions = {
	'host-fails': (world: World, { target, forMs }: Fault, now: number) =>
		world.hosts.crash(world.names[target % world.names.length] ?? '', now, forMs),
	'rack-fails': (world: World, { target, forMs }: Fault, now: number) => {
		const rack = world.hosts.all.get(world.names[target % world.names.length] ?? '')?.host.rack;
		const lost = [...world.hosts.all].filter(([, { host }]) => host.rack === rack);
		lost.forEach(([name]) => world.hosts.crash(name, now, forMs));
	},
	'reboot-hangs': (world: World, { target, forMs }: Fault, now: number) => {
		const host = world.hosts.all.get(world.names[target % world.names.length] ?? '');
		if (host !== undefined) {
			host.stuckUntil = now + forMs;
		}
	},
	'tasks-fail': (world: World, { target, forMs }: Fault, now: number) => {
		const count = 2 + (target % 3);
		for (let index = 0; index < count; index++) {
			const host = world.hosts.all.get(world.names[(target + index) % world.names.length] ?? '');
			if (host !== undefined) {
				host.failsUntil = now + forMs;
			}
		}
	},
	'set-aside': (world: World, { target, forMs }: Fault, now: number) => {
		const name = world.names[target % world.names.length] ?? '';
		const host = world.hosts.all.get(name);
		if (host !== undefined) {
			host.setAside = true;
			world.leader().inbox.push({ type: 'host-set-aside', host: name });
			world.later(now + forMs, () => {
				host.setAside = false;
				world.leader().inbox.push({ type: 'host-taken-back', host: name });
			});
		}
	},
	leaving: (world: World, { target, forMs }: Fault, now: number) => {
		const host = world.hosts.all.get(world.names[target % world.names.length] ?? '');
		if (host !== undefined) {
			host.leaving = true;
			world.later(now + forMs, () => {
				host.leaving = false;
			});
		}
	},
	'leader-paused': (world: World, { forMs }: Fault, now: number) => {
		world.leader().pausedUntil = now + Math.min(forMs, 60_000);
	},
	'log-out': (world: World, { forMs }: Fault, now: number) => {
		world.logOutUntil = now + forMs;
	},
	'wave-withdrawn': (world: World, { target }: Fault, now: number) => {
		const waves = Object.keys(world.state().fleet.waves);
		world.append({ type: 'withdraw', wave: waves[target % waves.length] ?? '' }, now);
	},
	'host-withdrawn': (world: World, { target }: Fault, now: number) =>
		world.append({ type: 'withdraw', host: world.names[target % world.names.length] ?? '' }, now),
	'host-moved': (world: World, { target }: Fault, now: number) => {
		// A claimed host, when there is one: a move during its drain or reboot.
		const { fleet } = world.state();
		const name = [...claimedIn(fleet)][0] ?? world.names[target % world.names.length] ?? '';
		const from = fleet.hosts[name]?.pool ?? '';
		const pools = Object.keys(fleet.pools);
		const to = pools[(pools.indexOf(from) + 1) % pools.length] ?? '';
		world.append({ type: 'host-moved', version: 1, moveId: `${name}-${now}`, host: name, from, to }, now);
	},
};

/** The kinds of fault that the model knows. */
export const faultKinds = Object.keys(faultActions) as (keyof typeof faultActions)[];

/** Runs the model until every wave has ended and all faults are over, or until the end of its time. */
export function runModel(run: ModelRun): ModelResult {
	const random = createSeededRandom(run.seed);
	const hosts = createModelHosts(run.hosts, run.rebootMs, run.drainSurvivesReboot);
	const checks = createWaveChecks(hosts);
	const standings = new Map<string, string>();
	const scheduled: { at: number; run: (now: number) => void }[] = [];
	const daemons = [1, 2].map((seed): Daemon => ({
		driver: createWaveDriver({ cell: 'cell', random: createSeededRandom(seed) }),
		pausedUntil: 0,
		inbox: [],
		stopWorkOn: undefined,
		nextPoll: new Map(),
	})) as [Daemon, Daemon];
	const fold = run.useRealFold === true ? realFold : fakeFold;
	let state = (run.useRealFold === true ? realState : fakeState)(run.pools, run.hosts, run.waves);
	let offset = 0;
	let [holder, other] = daemons;
	let term = 1;
	let leaseUntil = 0;
	let lostUntilState = 0;
	let leaderChanges = 0;
	let refusedClaims = 0;
	const accepted: FakeRecord['type'][] = [];

	const later = (at: number, action: (now: number) => void): void => {
		scheduled.push({ at, run: action });
	};
	const append = (record: FakeRecord, now: number): string | undefined => {
		offset++;
		const step = fold(state, offset, record);
		state = step.state;
		refusedClaims += step.refusal !== undefined && record.type === 'wave-claim' ? 1 : 0;
		if (step.refusal === undefined) {
			accepted.push(record.type);
			checks.takeAccepted(record, state, now);
		}
		// Every daemon reads the records in order, some time later.
		lostUntilState = Math.max(lostUntilState, now + random.nextInteger(1_500));
		const read = state.fleet;
		later(lostUntilState, () => daemons.forEach(({ inbox }) => inbox.push({ type: 'configuration', state: read })));
		return step.refusal;
	};
	const world: World = {
		hosts,
		names: run.hosts.map(host => host.name),
		leader: () => holder,
		append,
		state: () => state,
		logOutUntil: 0,
		later,
	};

	const carryOut: {
		readonly [Type in WaveEffect['type']]: (
			effect: Extract<WaveEffect, { type: Type }>,
			daemon: Daemon,
			now: number,
		) => void;
	} = {
		append: ({ record }, daemon, now) =>
			later(now + 50 + random.nextInteger(250), at => {
				const out = at < world.logOutUntil;
				const lost = random.next() < run.lostAnswers;
				const refusal = out || (lost && random.next() < 0.5) ? undefined : append(record, at);
				if (out || lost) {
					later(at + 1_000, () => daemon.inbox.push({ type: 'append-failed', recordType: record.type }));
				} else if (record.type === 'wave-claim') {
					const { claimId } = record;
					daemon.inbox.push({ type: 'claim-verdict', claimId, accepted: refusal === undefined, reason: refusal });
				}
			}),
		'stop-work-on': (effect, daemon) => {
			daemon.stopWorkOn = new Set(effect.hosts);
		},
		'drain-host': (effect, _daemon, now) => command(effect, now, host => (host.draining = true)),
		'resume-host': (effect, _daemon, now) => command(effect, now, host => (host.draining = false)),
		'reboot-host': (effect, _daemon, now) =>
			command(effect, now, (_host, at) => {
				checks.takeReboot(effect.host, at);
				hosts.reboot(effect.host, at);
			}),
		explained: effect => standings.set(effect.subject.replace(/^wave\//, ''), effect.reason),
	};
	type HostAction = (host: { draining: boolean }, at: number) => unknown;
	const command = (effect: { readonly host: string; readonly boot: string }, now: number, action: HostAction): void =>
		later(now + 50 + random.nextInteger(2_000), at => {
			const host = hosts.all.get(effect.host);
			if (host?.up === true && `${host.boot}` === effect.boot) {
				action(host, at);
			}
		});

	const changeLeader = (now: number): void => {
		if (now < holder.pausedUntil && now > leaseUntil + 300 && now >= other.pausedUntil) {
			holder.inbox.push({ type: 'not-leading' });
			[holder, other] = [other, holder];
			holder.stopWorkOn = undefined;
			holder.nextPoll.clear();
			term++;
			leaderChanges++;
			// Only a leader knows which hosts are set aside.
			hosts.all.forEach(host => (host.setAside = false));
		}
		if (now >= holder.pausedUntil) {
			leaseUntil = now + LEASE_MS;
			holder.inbox.push({ type: 'leading', term, until: leaseUntil });
		}
	};

	const poll = (daemon: Daemon, now: number): void => {
		const claimed = claimedIn(state.fleet);
		for (const [name, host] of hosts.all) {
			if (now >= (daemon.nextPoll.get(name) ?? 0)) {
				daemon.nextPoll.set(name, now + (claimed.has(name) ? 1_000 : 5_000));
				later(now + random.nextInteger(800), () => {
					const { up: reachable, boot, draining, tasks } = host;
					const status = { host: name, reachable, boot: `${boot}`, running: tasks.length, draining, requestedAt: now };
					daemon.inbox.push({ type: 'host-status', status });
				});
			}
		}
	};

	const startTasks = (daemon: Daemon, now: number): void => {
		for (const [name, host] of hosts.all) {
			const mayStart = host.up && !host.draining && !host.setAside && daemon.stopWorkOn?.has(name) === false;
			if (mayStart && host.tasks.length < 8 && random.next() < 0.3) {
				host.tasks.push(now + 500 + random.nextInteger(12_000));
			}
		}
	};

	const deliver = (daemon: Daemon, now: number): void => {
		const messages = [...daemon.inbox, { type: 'tick' } as const];
		daemon.inbox = [];
		for (const message of messages) {
			for (const effect of daemon.driver.handle(message, now)) {
				(carryOut[effect.type] as (effect: WaveEffect, daemon: Daemon, now: number) => void)(effect, daemon, now);
			}
		}
	};

	const lastFaultAt = Math.max(0, ...run.faults.map(fault => fault.at));
	run.faults.forEach(fault => later(fault.at, now => faultActions[fault.kind](world, fault, now)));
	daemons.forEach(({ inbox }) => inbox.push({ type: 'configuration', state: state.fleet }));
	let now = 0;
	const isOver = (): boolean => now > lastFaultAt && Object.values(state.fleet.waves).every(isEnded);
	for (; now < run.endAt && !isOver(); now += STEP_MS) {
		const due = scheduled.filter(({ at }) => at <= now).sort((left, right) => left.at - right.at);
		scheduled.splice(0, scheduled.length, ...scheduled.filter(({ at }) => at > now));
		due.forEach(({ run: action }) => action(now));
		changeLeader(now);
		if (now % 1_000 === 0) {
			const listed = hosts.listing();
			later(now + run.listLagMs, () =>
				daemons.forEach(({ inbox }) => inbox.push({ type: 'host-list', hosts: listed })),
			);
		}
		const results = hosts.advance(now);
		results.forEach(result => holder.inbox.push({ type: 'host-result', ...result }));
		if (now >= holder.pausedUntil) {
			startTasks(holder, now);
			poll(holder, now);
		}
		daemons.filter(({ pausedUntil }) => now >= pausedUntil).forEach(daemon => deliver(daemon, now));
	}
	checks.takeEnd(state, standings, now < world.logOutUntil, now);
	return { checks, state, standings, endedAt: now, leaderChanges, accepted, refusedClaims };
}
