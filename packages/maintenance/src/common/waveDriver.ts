import type { SeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import type { FleetState, Host } from '@chestnutwheel/configuration/common/fleetState.js';
import { createAppendGate } from './appendGate.js';
import { createCellWavesReader, type CellWave, type CellWaves } from './cellWaves.js';
import { createHostProgress, nextHostStep, repeatAfterMs, type HostProgress, type HostStep } from './hostProgress.js';
import { createHostViews } from './hostViews.js';
import { planClaims } from './waveClaims.js';
import type { HostCommand, WaveEffect, WaveMessage } from './waveMessages.js';
import { explainWave } from './waveStanding.js';
import { createWaveStops } from './waveStops.js';

/** Options of {@link createWaveDriver}. */
export interface WaveDriverOptions {
	/** The cell whose pools the driver maintains. */
	readonly cell: string;
	/** Spreads retries of appends. */
	readonly random: SeededRandom;
}

/**
 * Drives the maintenance waves of one cell: deterministic, without sockets, timers or a clock of its own. It acts only
 * while its daemon leads the cell, and only on claims that the fold has accepted. What it remembers besides the state
 * can be lost at any time.
 */
export interface WaveDriver {
	/** Takes one message and returns what has to be done, in order. @param now monotonic milliseconds */
	handle(message: WaveMessage, now: number): readonly WaveEffect[];
	/** The earliest time at which a `tick` changes anything; `undefined` when only a message can. */
	nextTickAt(): number | undefined;
}

/** Time for which a pool gets no new claim after the fold has refused one; another leader or a move is at work. */
const REFUSED_CLAIM_DELAY_MS = 2_000;

/** Creates a driver that does not lead yet. */
export function createWaveDriver({ cell, random }: WaveDriverOptions): WaveDriver {
	const views = createHostViews();
	const gate = createAppendGate(random);
	const stops = createWaveStops();
	const reader = createCellWavesReader(cell);
	const progressByClaim = new Map<string, HostProgress>();
	const claimIdByHost = new Map<string, string>();
	const refusedUntil = new Map<string, number>();
	const explained = new Map<string, string>();
	let state: FleetState | undefined;
	let cellWaves: CellWaves | undefined;
	let term: number | undefined;
	let leadsUntil = 0;
	let claimCount = 0;
	let refusals: WaveEffect[] = [];
	/** Waves with a record that waits for the log. */
	const heldWaves = new Set<string>();
	let lastDrained: string | undefined;
	let lastNow = 0;

	const forget = (): void => {
		views.forget();
		gate.forget();
		stops.forget();
		progressByClaim.clear();
		claimIdByHost.clear();
		refusals = [];
		refusedUntil.clear();
		explained.clear();
		lastDrained = undefined;
	};

	const takeState = (next: FleetState, now: number): void => {
		if (state !== undefined && next.offset < state.offset) {
			return;
		}
		if (next.offset > (state?.offset ?? -1)) {
			gate.recover();
		}
		state = next;
		cellWaves = reader.read(next);
		if (term !== undefined) {
			follow(cellWaves, now);
		}
	};

	/** Starts a deadline for each new claim, and forgets the hosts that are no longer claimed. */
	const follow = ({ waves, claimedHosts }: CellWaves, now: number): void => {
		stops.follow(waves);
		const resumed = new Set(stops.takeResumed());
		const driven = new Set<string>();
		for (const { wave, claimed } of waves) {
			// What the state shows need not be waited for.
			gate.settle(wave.state === 'stopped' ? `wave-stopped/${wave.name}` : `wave-resumed/${wave.name}`);
			for (const { name } of claimed) {
				const key = progressKey(wave.name, name);
				driven.add(key);
				const deadlineAt = now + wave.returnWithinMs;
				const known = progressByClaim.get(key);
				if (known === undefined) {
					progressByClaim.set(key, createHostProgress(deadlineAt));
				} else if (resumed.has(wave.name)) {
					known.deadlineAt = deadlineAt;
				}
			}
		}
		for (const name of [...progressByClaim.keys()].filter(known => !driven.has(known))) {
			progressByClaim.delete(name);
		}
		for (const host of [...claimIdByHost.keys()].filter(name => claimedHosts.has(name))) {
			claimIdByHost.delete(host);
			gate.settle(claimKey(host));
		}
	};

	const takeVerdict = (claimId: string, accepted: boolean, reason: string, now: number): void => {
		gate.recover();
		const [host] = [...claimIdByHost].find(([, known]) => known === claimId) ?? [];
		if (host !== undefined && !accepted) {
			claimIdByHost.delete(host);
			gate.settle(claimKey(host));
			refusedUntil.set(state?.hosts[host]?.pool ?? '', now + REFUSED_CLAIM_DELAY_MS);
			refusals.push({ type: 'explained', subject: `host/${host}`, reason: 'claim-refused', details: { reason } });
		}
	};

	/** Handlers by message type. Each tells whether the message may change a decision. */
	const take: {
		readonly [Type in WaveMessage['type']]: (message: Extract<WaveMessage, { type: Type }>, now: number) => boolean;
	} = {
		configuration: (message, now) => {
			takeState(message.state, now);
			return true;
		},
		leading: (message, now) => {
			leadsUntil = message.until ?? Number.POSITIVE_INFINITY;
			if (term !== message.term) {
				forget();
				term = message.term;
				if (cellWaves !== undefined) {
					follow(cellWaves, now);
				}
			}
			return true;
		},
		'not-leading': () => {
			term = undefined;
			forget();
			return false;
		},
		'host-list': message => {
			views.takeList(message.hosts);
			return true;
		},
		'host-set-aside': message => {
			views.setAside(message.host);
			return true;
		},
		'host-taken-back': message => {
			views.takeBack(message.host);
			return true;
		},
		'host-status': (message, now) => {
			views.takeStatus(message.status, now);
			return true;
		},
		'claim-verdict': (message, now) => {
			takeVerdict(message.claimId, message.accepted, message.reason ?? '', now);
			return true;
		},
		'append-failed': (_message, now) => {
			gate.fail(now);
			return true;
		},
		'host-result': message => stops.takeResult(cellWaves?.waves ?? [], message.host, message.succeeded),
		tick: () => true,
	};

	const tryAppend = (wave: string, key: string, now: number): boolean => {
		const mayAppend = gate.tryTake(key, now);
		if (!mayAppend && gate.isOutage) {
			heldWaves.add(wave);
		}
		return mayAppend;
	};

	const driveHost = (currentTerm: number, wave: string, host: Host, now: number): readonly WaveEffect[] => {
		const progress = progressByClaim.get(progressKey(wave, host.name));
		if (progress === undefined) {
			return [];
		}
		const answer = views.answerOf(host.name, now);
		if (answer?.draining === true) {
			progress.drainedBoot ??= answer.boot;
		}
		const step = nextHostStep(progress, answer, views.isListedLive(host.name));
		progress.isBack = step === 'record-return';
		if (answer === undefined || step === 'wait' || (step === progress.step && now < progress.repeatAt)) {
			return [];
		}
		progress.step = step;
		progress.repeatAt = now + repeatAfterMs[step];
		const command: HostCommand = { host: host.name, address: host.address, boot: answer.boot, term: currentTerm };
		const effects: Readonly<Record<HostStep, () => readonly WaveEffect[]>> = {
			wait: () => [],
			drain: () => [{ type: 'drain-host', ...command }],
			reboot: () => [{ type: 'reboot-host', ...command }],
			resume: () => [{ type: 'resume-host', ...command }],
			'record-return': () =>
				tryAppend(wave, `host-returned/${wave}/${host.name}`, now)
					? [{ type: 'append', record: { type: 'host-returned', version: 1, wave, host: host.name } }]
					: [],
		};
		return effects[step]();
	};

	const overdueHosts = ({ wave, claimed }: CellWave, now: number): readonly string[] =>
		claimed
			.map(host => host.name)
			.filter(name => {
				const progress = progressByClaim.get(progressKey(wave.name, name));
				// A host that is back and only waits for its record is not overdue, however long the log is out.
				return progress !== undefined && now >= progress.deadlineAt && !progress.isBack;
			});

	const changeWave = (cellWave: CellWave, current: FleetState, now: number): readonly WaveEffect[] => {
		const change = stops.changeOf(cellWave, current, overdueHosts(cellWave, now));
		const wave = cellWave.wave.name;
		return change !== undefined && tryAppend(wave, `${change.type}/${wave}`, now)
			? [{ type: 'append', record: { version: 1, wave, ...change } }]
			: [];
	};

	const claimHosts = (
		current: FleetState,
		waves: CellWaves,
		currentTerm: number,
		now: number,
	): readonly WaveEffect[] => {
		const plan = planClaims(current, waves, views, host => gate.isPending(claimKey(host), now), now);
		const effects: WaveEffect[] = [];
		for (const { wave, host, unavailable } of plan.claims) {
			const pool = current.hosts[host]?.pool ?? '';
			const isStopping = gate.isPending(`wave-stopped/${wave}`, now);
			if (!isStopping && now >= (refusedUntil.get(pool) ?? now) && tryAppend(wave, claimKey(host), now)) {
				claimCount++;
				const claimId = `${cell}-${currentTerm}-${claimCount}`;
				claimIdByHost.set(host, claimId);
				effects.push({ type: 'append', record: { type: 'wave-claim', version: 1, claimId, wave, host, unavailable } });
			}
		}
		const concerned = waves.waves.filter(({ waiting, claimed }) => waiting.length + claimed.length > 0);
		for (const cellWave of concerned) {
			const name = cellWave.wave.name;
			const standing = explainWave(
				cellWave,
				plan.waitingFor.get(name) ?? {},
				overdueHosts(cellWave, now),
				// A running wave also waits when a record of another wave is held back: nothing can be claimed.
				heldWaves.has(name) || (heldWaves.size > 0 && cellWave.wave.state === 'running'),
			);
			if (explained.get(name) !== standing.reason) {
				explained.set(name, standing.reason);
				effects.push({ type: 'explained', subject: `wave/${name}`, ...standing });
			}
		}
		return effects;
	};

	const drainedList = (waves: CellWaves): readonly WaveEffect[] => {
		const hosts = waves.waves.flatMap(({ claimed }) => claimed.map(host => host.name)).sort();
		const text = hosts.join(' ');
		if (text === lastDrained) {
			return [];
		}
		lastDrained = text;
		return [{ type: 'stop-work-on', hosts }];
	};

	const decide = (now: number): readonly WaveEffect[] => {
		const [current, waves, currentTerm] = [state, cellWaves, term];
		if (current === undefined || waves === undefined || currentTerm === undefined || now >= leadsUntil) {
			return [];
		}
		const refused = refusals;
		refusals = [];
		heldWaves.clear();
		return [
			...refused,
			...drainedList(waves),
			...waves.waves.flatMap(({ wave, claimed }) =>
				claimed.flatMap(host => driveHost(currentTerm, wave.name, host, now)),
			),
			...waves.waves.flatMap(cellWave => changeWave(cellWave, current, now)),
			...claimHosts(current, waves, currentTerm, now),
		];
	};

	return {
		handle: (message, now) => {
			lastNow = now;
			// The handler is found by the type of the message that it is called with.
			const handler = take[message.type] as (message: WaveMessage, now: number) => boolean;
			return handler(message, now) ? decide(now) : [];
		},
		nextTickAt: () => {
			if (term === undefined || cellWaves === undefined) {
				return undefined;
			}
			const times = [...progressByClaim.values()].flatMap(progress => [progress.deadlineAt, progress.repeatAt]);
			const later = [...times, ...refusedUntil.values(), gate.nextAt(lastNow) ?? 0].filter(
				time => time > lastNow && Number.isFinite(time),
			);
			return later.length === 0 ? undefined : Math.min(...later);
		},
	};
}

function progressKey(wave: string, host: string): string {
	return `${wave}/${host}`;
}

function claimKey(host: string): string {
	return `wave-claim/${host}`;
}
