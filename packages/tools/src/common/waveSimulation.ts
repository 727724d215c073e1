import { createSeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import type { ControlRecord, ReleaseNote } from '@chestnutwheel/configuration/common/controlRecord.js';
import { emptyFleetState, type FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import { foldControlRecord } from '@chestnutwheel/configuration/common/foldControlRecord.js';
import { createWaveDriver } from '@chestnutwheel/maintenance/common/waveDriver.js';
import type { WaveEffect, WaveMessage } from '@chestnutwheel/maintenance/common/waveMessages.js';
import type { ListedHostState } from '@chestnutwheel/platform/common/hostList.js';

/** What goes wrong during a simulated wave; `hosts` are indices into the hosts of the note. */
export type WaveFault =
	| { readonly kind: 'hosts-fail'; readonly at: number; readonly forMs: number; readonly hosts: readonly number[] }
	| { readonly kind: 'reboot-hangs'; readonly forMs: number; readonly hosts: readonly number[] }
	| { readonly kind: 'log-out'; readonly at: number; readonly forMs: number }
	| { readonly kind: 'leader-changes'; readonly at: number };

/** One simulated wave over all hosts of a cell. */
export interface WaveSimulation {
	readonly cell: string;
	/** Adds the fleet; the wave over all of its pools is added to it. */
	readonly note: ReleaseNote;
	readonly seed: number;
	/** From the drain command until nothing runs on the host. */
	readonly drainMs: number;
	readonly rebootMs: number;
	/** Time between two questions to a claimed host. */
	readonly claimedPollMs: number;
	/** Time between two questions to another host. */
	readonly pollMs: number;
	readonly listLagMs: number;
	/** Longest time from an append until the daemon has folded the record. */
	readonly foldWithinMs: number;
	readonly faults: readonly WaveFault[];
	readonly endAt: number;
}

/** What a simulated wave shows. */
export interface WaveSimulationResult {
	readonly finished: boolean;
	readonly rollOutMs: number;
	readonly reboots: number;
	readonly stops: number;
	readonly refusedClaims: number;
}

interface SimulatedHost {
	up: boolean;
	boot: number;
	emptyAt: number | undefined;
	upAt: number;
	hangsForMs: number;
}

const STEP_MS = 250;

/** Runs a wave with the wave driver, the fold of the accepted state and simulated hosts. */
export function simulateWave(simulation: WaveSimulation): WaveSimulationResult {
	const random = createSeededRandom(simulation.seed);
	const pools = simulation.note.added?.pools ?? [];
	const names = (simulation.note.added?.hosts ?? []).map(host => host.name);
	const hosts = new Map(
		names.map((name): [string, SimulatedHost] => [
			name,
			{ up: true, boot: 1, emptyAt: undefined, upAt: 0, hangsForMs: 0 },
		]),
	);
	let state: FleetState = emptyFleetState;
	let scheduled: { at: number; run: (now: number) => void }[] = [];
	let driver = createWaveDriver({ cell: simulation.cell, random });
	let [inbox, term, logOutUntil, readAt] = [[] as WaveMessage[], 1, 0, 0];
	let [reboots, stops, refusedClaims] = [0, 0, 0];
	const nextPollAt = new Map(names.map(name => [name, random.next() * simulation.pollMs]));

	const later = (at: number, run: (now: number) => void): void => {
		scheduled.push({ at, run });
	};
	const append = (record: ControlRecord): boolean => {
		const { state: next, verdict } = foldControlRecord(state, state.offset + 1, JSON.stringify(record));
		state = next;
		return verdict?.accepted === true;
	};
	const appendLate = (record: ControlRecord, now: number): void => {
		if (now < logOutUntil) {
			inbox.push({ type: 'append-failed', recordType: record.type });
			return;
		}
		const accepted = append(record);
		stops += record.type === 'wave-stopped' && accepted ? 1 : 0;
		refusedClaims += record.type === 'wave-claim' && !accepted ? 1 : 0;
		const folded = state;
		readAt = Math.max(readAt, now + random.next() * simulation.foldWithinMs);
		later(readAt, () => inbox.push({ type: 'configuration', state: folded }));
	};
	const takeDown = (host: SimulatedHost, upAt: number): void => {
		host.upAt = host.up ? upAt : Math.max(host.upAt, upAt);
		host.up = false;
		host.emptyAt = undefined;
	};
	const command = (name: string, boot: string, run: (host: SimulatedHost) => void): void => {
		const host = hosts.get(name);
		if (host?.up === true && `${host.boot}` === boot) {
			run(host);
		}
	};

	const carryOut: {
		readonly [Type in WaveEffect['type']]: (effect: Extract<WaveEffect, { type: Type }>, now: number) => void;
	} = {
		append: ({ record }, now) => later(now + random.next() * 100, at => appendLate(record, at)),
		'stop-work-on': () => undefined,
		'drain-host': ({ host: name, boot }, now) =>
			command(name, boot, host => {
				host.emptyAt ??= now + simulation.drainMs;
			}),
		'reboot-host': ({ host: name, boot }, now) =>
			command(name, boot, host => {
				reboots++;
				takeDown(host, now + simulation.rebootMs + host.hangsForMs);
				host.hangsForMs = 0;
			}),
		'resume-host': ({ host: name, boot }) =>
			command(name, boot, host => {
				host.emptyAt = undefined;
			}),
		explained: () => undefined,
	};

	const startFault: {
		readonly [Kind in WaveFault['kind']]: (fault: Extract<WaveFault, { kind: Kind }>) => void;
	} = {
		'hosts-fail': fault =>
			later(fault.at, now => {
				for (const index of fault.hosts) {
					const host = hosts.get(names[index] ?? '');
					if (host !== undefined) {
						takeDown(host, now + fault.forMs);
					}
				}
			}),
		'reboot-hangs': fault => {
			for (const index of fault.hosts) {
				const host = hosts.get(names[index] ?? '');
				if (host !== undefined) {
					host.hangsForMs = fault.forMs;
				}
			}
		},
		'log-out': fault =>
			later(fault.at, now => {
				logOutUntil = now + fault.forMs;
			}),
		'leader-changes': fault =>
			later(fault.at, () => {
				term++;
				driver = createWaveDriver({ cell: simulation.cell, random });
				inbox = [
					{ type: 'leading', term },
					{ type: 'configuration', state },
				];
			}),
	};

	const poll = (now: number): void => {
		const claims = state.waves.all?.hosts ?? {};
		for (const [name, host] of hosts) {
			if (now >= (nextPollAt.get(name) ?? 0)) {
				nextPollAt.set(name, now + (claims[name] === 'claimed' ? simulation.claimedPollMs : simulation.pollMs));
				const { up: reachable, boot, emptyAt } = host;
				const running = emptyAt !== undefined && now >= emptyAt ? 0 : 1;
				const draining = emptyAt !== undefined;
				const status = { host: name, reachable, boot: `${boot}`, running, draining, requestedAt: now };
				inbox.push({ type: 'host-status', status });
			}
		}
	};
	const list = (now: number): void => {
		const listed = Object.fromEntries(
			[...hosts].map(([name, { up }]): [string, ListedHostState] => [name, up ? 'live' : 'down']),
		);
		later(now + simulation.listLagMs, () => inbox.push({ type: 'host-list', hosts: listed }));
	};

	append({ type: 'note', version: 1, note: simulation.note });
	const wave = { name: 'all', pools: pools.map(pool => pool.name) };
	const waveNote = { id: 'wave', author: 'experiment', writtenAgainst: state.noteOffset, added: { waves: [wave] } };
	if (!append({ type: 'note', version: 1, note: waveNote })) {
		throw new Error('the notes of the simulation were refused');
	}
	inbox.push({ type: 'leading', term }, { type: 'configuration', state });
	simulation.faults.forEach(fault => (startFault[fault.kind] as (fault: WaveFault) => void)(fault));

	let now = 0;
	for (; now < simulation.endAt && state.waves.all?.state !== 'finished'; now += STEP_MS) {
		const due = scheduled.filter(({ at }) => at <= now).sort((left, right) => left.at - right.at);
		scheduled = scheduled.filter(({ at }) => at > now);
		due.forEach(({ run }) => run(now));
		for (const host of hosts.values()) {
			if (!host.up && now >= host.upAt) {
				host.up = true;
				host.boot++;
			}
		}
		if (now % 1_000 === 0) {
			list(now);
		}
		poll(now);
		const messages = [...inbox];
		inbox = [];
		if (now >= (driver.nextTickAt() ?? Number.POSITIVE_INFINITY)) {
			messages.push({ type: 'tick' });
		}
		for (const message of messages) {
			for (const effect of driver.handle(message, now)) {
				(carryOut[effect.type] as (effect: WaveEffect, now: number) => void)(effect, now);
			}
		}
	}
	return { finished: state.waves.all?.state === 'finished', rollOutMs: now, reboots, stops, refusedClaims };
}

/** Shortest possible roll-out: per pool, ceil(hosts / budget) times drain and reboot; the largest over the pools. */
export function lowerBoundMs(note: ReleaseNote, drainMs: number, rebootMs: number): number {
	const rounds = (note.added?.pools ?? []).map(({ name, budget }) => {
		const members = (note.added?.hosts ?? []).filter(host => host.pool === name);
		const byDataCentre = new Map<string, number>();
		for (const { dataCentre } of members) {
			byDataCentre.set(dataCentre, (byDataCentre.get(dataCentre) ?? 0) + 1);
		}
		const perDataCentre = budget.maximumUnavailablePerDataCentre ?? Number.POSITIVE_INFINITY;
		return Math.max(
			Math.ceil(members.length / budget.maximumUnavailable),
			...[...byDataCentre.values()].map(count => Math.ceil(count / perDataCentre)),
		);
	});
	return Math.max(...rounds) * (drainMs + rebootMs);
}
