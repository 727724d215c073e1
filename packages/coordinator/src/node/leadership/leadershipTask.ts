import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { SeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { LogService } from '@chestnutwheel/ports/common/logService.js';
import type { NoteDecision } from '@chestnutwheel/engine/common/engineMessages.js';
import { decideCandidacy, needsNoPeers, type CandidacyFacts } from '../../common/candidacy.js';
import type { LeadershipSettings } from '../../common/coordinatorSettings.js';
import type { LeaderIdentity, PeerMethods } from '../../common/peerProtocol.js';
import type { PeerLink } from '../peers/peerLink.js';
import type { PeerNetwork } from '../peers/peerNetwork.js';
import { formatLeaderRecord, identityOf, LEADER_KEY, parseLeaderRecord, type LeaderRecord } from './leaderRecord.js';
import type { MemberList } from './memberList.js';

/** Pause after a round that left open who leads. */
const TRY_AGAIN_MS = 120;

/** Spread of the moments at which several candidates stand. */
const STAND_SPREAD_MS = 60;

/** Pause before a daemon that stepped down because the store turns it away stands again. */
const STAND_ASIDE_MS = 3_000;

/** How a term ended. `stand-aside`: the store turns this daemon away, so that another one should lead. */
export type TermOutcome = 'deposed' | 'resigned' | 'stand-aside';

/** Silence of a leader that was never heard; JSON has no infinity. */
const NEVER_HEARD_MS = 1_000_000_000;

/** The leader before. `stopped`: it surely does not lead any more. */
export type FormerLeader =
	{ readonly type: 'none' | 'stopped' } | { readonly type: 'unknown'; readonly address: string };

/** Options of {@link createLeadershipTask}. */
export interface LeadershipOptions {
	readonly settings: LeadershipSettings;
	readonly self: { readonly entryHost: string; readonly address: string; readonly incarnation: string };
	readonly log: LogService;
	readonly network: PeerNetwork;
	readonly members: MemberList;
	readonly clock: Clock;
	readonly random: SeededRandom;
	readonly counters: Counters;
	readonly note: NoteDecision;
	/**
	 * Leads until the signal is aborted or the term is lost. The leader's topic ends at the offset that is the term.
	 */
	readonly lead: (identity: LeaderIdentity, former: FormerLeader, signal: AbortSignal) => Promise<TermOutcome>;
}

/** Finds out who leads, and leads when nobody does. */
export interface LeadershipTask {
	/** The leader as far as known; it may be gone. */
	leader(): LeaderIdentity | undefined;
	/** Connection to the leader, if it is open and the leader was heard of late. */
	link(): PeerLink | undefined;
	/** Time since the leader was heard, in milliseconds; 0 for the leader itself. */
	silentForMs(): number;
	readonly isLeading: boolean;
	/** Resolves when it is known whether this daemon leads; a record of its own may be on its way to the store. */
	decided(): Promise<void>;
	/** Another daemon says that it leads. */
	heard(alive: PeerMethods['leader.alive']['parameters'], now: number): void;
	run(signal: AbortSignal): Promise<void>;
	/** Never stands again; the daemon is about to stop. */
	retire(): void;
}

/** What the store says about the leader. */
interface StoredLeader {
	readonly type: CandidacyFacts['record'];
	readonly identity: LeaderIdentity | undefined;
	readonly end: number;
}

/** Creates the task. */
export function createLeadershipTask(options: LeadershipOptions): LeadershipTask {
	const { settings, self, log, network, members, clock, random, counters, note } = options;
	let leader: LeaderIdentity | undefined;
	let link: PeerLink | undefined;
	let heardAt = -Infinity;
	let isLeading = false;
	let isRetired = false;
	let standAsideUntil = 0;
	/** The last doubt that was noted; a line is written only when it changes. */
	let lastDoubt = '';
	/** Aborted when the leader says that it steps down, so that the wait for its next sign of life ends. */
	let steppedDown = new AbortController();
	/** Where the topic ended when the leader stepped down; `undefined` once it was tried. */
	let offeredEnd: number | undefined;
	/** The last attempt to take a term. */
	let standing: Promise<LeaderIdentity | undefined> = Promise.resolve(undefined);
	/** End of the leader's topic and when it was first seen there. */
	let observed = { end: -1, since: clock.now() };
	const isAbroad = (identity: LeaderIdentity): boolean => identity.address !== self.address;

	const silentForMs = (): number => {
		if (isLeading) {
			return 0;
		}
		const lastHeardAt = Math.max(heardAt, link?.isOpen === true ? link.heardAt : -Infinity);
		return Math.min(NEVER_HEARD_MS, clock.now() - lastHeardAt);
	};

	const adopt = (identity: LeaderIdentity): void => {
		if (leader !== undefined && identity.term <= leader.term) {
			return;
		}
		note('leader-known', { term: identity.term, leader: identity.entryHost, before: leader?.term });
		leader = identity;
		link = undefined;
	};

	const readStored = async (signal: AbortSignal): Promise<StoredLeader> => {
		const outcome = await log.newest('leader', signal);
		if (outcome.type !== 'newest') {
			return { type: 'unreadable', identity: undefined, end: -1 };
		}
		if (outcome.end !== observed.end) {
			observed = { end: outcome.end, since: clock.now() };
		}
		const newest = outcome.records.find(({ key }) => key === LEADER_KEY);
		const record = newest?.value === undefined ? undefined : parseLeaderRecord(newest.value);
		if (newest === undefined || record === undefined) {
			return { type: 'none', identity: undefined, end: outcome.end };
		}
		const identity = identityOf(record, newest.offset);
		const type = record.isResigning ? 'resigned' : record.entryHost === self.entryHost ? 'own-former' : 'other';
		return { type, identity, end: outcome.end };
	};

	/** Connects to the leader. @returns `denied` when the process there says that it does not lead this term */
	const reach = async (identity: LeaderIdentity): Promise<'reached' | 'denied' | 'unreachable'> => {
		try {
			const opened = await network.dial(identity.address, settings.askPeersMs);
			const hello = await opened.call('peer.hello', { entryHost: self.entryHost }, settings.askPeersMs);
			opened.handle.peer = hello.entryHost;
			if (hello.leader?.address !== identity.address || hello.leader.term < identity.term) {
				return 'denied';
			}
			link = opened;
			heardAt = clock.now();
			return 'reached';
		} catch {
			// A connection that went silent must not be used again.
			network.drop(identity.address);
			return 'unreachable';
		}
	};

	const askPeers = async (): Promise<{ answered: number; heard: LeaderIdentity | undefined }> => {
		const answers = await Promise.all(
			members.others().map(async address => {
				try {
					const peer = await network.dial(address, settings.askPeersMs);
					return await peer.call('leader.heard', {}, settings.askPeersMs);
				} catch {
					network.drop(address);
					return undefined;
				}
			}),
		);
		const answered = answers.filter(answer => answer !== undefined);
		const heard = answered
			.filter(answer => answer.silentForMs < settings.silenceMs && answer.leader !== undefined)
			.flatMap(answer => (answer.leader === undefined ? [] : [answer.leader]))
			.sort((left, right) => right.term - left.term)[0];
		return { answered: answered.length, heard };
	};

	/** @returns the term, when this daemon leads now */
	const appendTerm = async (end: number, signal: AbortSignal): Promise<LeaderIdentity | undefined> => {
		const record: LeaderRecord = { ...self, term: 0, isResigning: false };
		const value = log.keyedRecord(LEADER_KEY, formatLeaderRecord(record));
		const outcome = await log.append('leader', [value], { at: end }, signal);
		counters.add('candidacies_total', { outcome: outcome.type });
		if (outcome.type === 'appended') {
			return identityOf(record, outcome.offset);
		}
		if (outcome.type === 'unknown') {
			// Only a record that is seen to be stored counts; if it is stored later, the record names this daemon.
			const stored = await readStored(signal);
			return stored.type === 'own-former' && stored.end > end ? stored.identity : undefined;
		}
		return undefined;
	};

	const stand = (end: number, signal: AbortSignal): Promise<LeaderIdentity | undefined> => {
		const attempt = appendTerm(end, signal);
		standing = attempt;
		return attempt;
	};

	const formerOf = (stored: StoredLeader): FormerLeader => {
		if (stored.type === 'other' && stored.identity !== undefined) {
			return { type: 'unknown', address: stored.identity.address };
		}
		return { type: stored.type === 'none' ? 'none' : 'stopped' };
	};

	const lead = async (identity: LeaderIdentity, former: FormerLeader, signal: AbortSignal): Promise<void> => {
		isLeading = true;
		leader = identity;
		link = undefined;
		note('term-begins', { term: identity.term });
		counters.add('terms_total');
		const outcome = await options.lead(identity, former, signal);
		isLeading = false;
		heardAt = -Infinity;
		note('term-ends', { term: identity.term, outcome });
		if (outcome === 'stand-aside') {
			standAsideUntil = clock.now() + STAND_ASIDE_MS;
		}
	};

	/** Takes the term of a leader that has stepped down. @returns whether this daemon has led */
	const succeed = async (end: number, signal: AbortSignal): Promise<boolean> => {
		await delay(settings.standAfterMs + random.nextInteger(STAND_SPREAD_MS), signal);
		const identity = signal.aborted || isRetired ? undefined : await stand(end, signal);
		if (identity === undefined) {
			return false;
		}
		await lead(identity, { type: 'stopped' }, signal);
		return true;
	};

	const contest = async (signal: AbortSignal): Promise<void> => {
		const end = offeredEnd;
		offeredEnd = undefined;
		if (end !== undefined && clock.now() >= standAsideUntil && (await succeed(end, signal))) {
			return;
		}
		const stored = await readStored(signal);
		if (stored.identity !== undefined && isAbroad(stored.identity)) {
			adopt(stored.identity);
		}
		const reached = leader !== undefined && isAbroad(leader) ? await reach(leader) : 'unreachable';
		if (reached === 'reached' && stored.type !== 'resigned') {
			lastDoubt = '';
			return;
		}
		const isFree = needsNoPeers(stored.type, reached === 'denied');
		if (!isFree) {
			await members.refresh(signal);
		}
		const peers = isFree ? { answered: 0, heard: undefined } : await askPeers();
		const isHeardByPeer = peers.heard !== undefined && peers.heard.term >= (leader?.term ?? 0) && isAbroad(peers.heard);
		if (isHeardByPeer && peers.heard !== undefined) {
			adopt(peers.heard);
		}
		const facts: CandidacyFacts = {
			record: stored.type,
			isDenied: reached === 'denied',
			peersAnswered: peers.answered,
			isHeardByPeer,
			standstillMs: clock.now() - observed.since,
		};
		const decision = decideCandidacy(facts, settings.standstillMs);
		const doubt = [decision, stored.type, leader?.term, facts.isDenied, facts.isHeardByPeer].join();
		if (doubt !== lastDoubt) {
			lastDoubt = doubt;
			note('leader-doubted', {
				...facts,
				leader: leader?.entryHost,
				term: leader?.term,
				silentForMs: Math.round(silentForMs()),
				next: decision,
			});
		}
		if (decision !== 'stand' || isRetired || clock.now() < standAsideUntil) {
			await delay(TRY_AGAIN_MS, signal);
			return;
		}
		const standAfterMs = stored.type === 'none' ? settings.standFirstAfterMs : settings.standAfterMs;
		await delay(standAfterMs + random.nextInteger(STAND_SPREAD_MS), signal);
		const identity = signal.aborted ? undefined : await stand(stored.end, signal);
		if (identity !== undefined) {
			await lead(identity, formerOf(stored), signal);
		}
	};

	return {
		leader: () => leader,
		link: () => (link?.isOpen === true ? link : undefined),
		silentForMs,
		get isLeading() {
			return isLeading;
		},
		decided: async () => {
			await standing;
		},
		heard: ({ leader: identity, isResigning, topicEnd }, now) => {
			adopt(identity);
			if (leader?.term === identity.term) {
				heardAt = isResigning ? -Infinity : now;
				if (isResigning) {
					link = undefined;
					offeredEnd = topicEnd;
					steppedDown.abort();
					steppedDown = new AbortController();
				}
			}
		},
		run: async signal => {
			while (!signal.aborted) {
				const quietMs = settings.silenceMs - silentForMs();
				if (link?.isOpen === true && quietMs > 0) {
					// Nothing can change before the leader has been silent for long or its connection breaks.
					await delay(quietMs, AbortSignal.any([signal, link.closed, steppedDown.signal]));
				} else {
					await contest(signal);
				}
			}
		},
		retire: () => {
			isRetired = true;
		},
	};
}
