import { createSeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import { createLeaseHolder, type LeaseCall, type LeaseHolder } from '../common/leaseHolder.js';
import type { LeaseResponse } from '../common/leaseMessages.js';
import { createLeaseVoter, type LeaseVoter } from '../common/leaseVoter.js';
import { majorityOf } from '../common/majority.js';

/** One entry host of the simulated cluster. `rate` is its clock's milliseconds per real millisecond. */
export interface ClusterHost {
	readonly name: string;
	readonly rate: number;
	readonly clockStart: number;
}

/** First line of a trace of the unit `lease-cluster`. */
export interface ClusterOptions {
	readonly unit: 'lease-cluster';
	readonly seed: number;
	readonly hosts: readonly ClusterHost[];
	/** Number of hosts, counted from the first, in the initial entry set. */
	readonly members: number;
	/** Percentage of messages that are lost at random. */
	readonly lossPercent: number;
	/** Real time in milliseconds at which the simulation ends. */
	readonly endAt: number;
}

/** A fault or a change at a real time. Hosts are given by index, durations in real milliseconds. */
export type ClusterEvent = { readonly at: number } & (
	| { readonly type: 'cut'; readonly from: number; readonly to: number; readonly forMs: number }
	| {
			readonly type: 'slow';
			readonly from: number;
			readonly to: number;
			readonly delayMs: number;
			readonly forMs: number;
	  }
	| { readonly type: 'duplicate'; readonly from: number; readonly to: number; readonly againMs: number }
	| { readonly type: 'pause'; readonly host: number; readonly forMs: number }
	| { readonly type: 'restart'; readonly host: number }
	| { readonly type: 'release'; readonly host: number }
	/** The host does not read the control stream. */
	| { readonly type: 'lag'; readonly host: number; readonly forMs: number }
	/** A release note that adds or removes one entry host, refused under the same rule as in the control state. */
	| { readonly type: 'toggle-member'; readonly host: number }
);

/** Result of the checks, which run on real time. */
export interface ClusterResult {
	/** Maximum number of daemons that considered themselves holders of the cell at the same real time. */
	readonly mostHolders: number;
	/** First real time with more than one holder. */
	readonly violatedAt: number | undefined;
	/** Number of leases whose term was not above that of every earlier lease. */
	readonly termViolations: number;
	/** Names of the holders at the end of the simulation. */
	readonly holdersAtEnd: readonly string[];
	readonly leasesSeen: number;
	readonly setChanges: number;
}

interface Daemon {
	readonly index: number;
	readonly host: ClusterHost;
	voter: LeaseVoter;
	holder: LeaseHolder;
	incarnation: number;
	pausedUntil: number;
	lagUntil: number;
	folded: number;
}

interface EntrySet {
	readonly members: readonly string[];
	readonly acknowledgedBy: Set<string>;
}

interface ScheduledStep {
	readonly at: number;
	readonly order: number;
	readonly run: () => void;
}

interface Link {
	cutUntil: number;
	slowUntil: number;
	delayMs: number;
	/** Extra delay after which the next message on this link is delivered a second time. */
	againMs: number | undefined;
}

const createLink = (): Link => ({ cutUntil: 0, slowUntil: 0, delayMs: 0, againMs: undefined });

const TICK_INTERVAL_MS = 50;
const CELL = 'desk';
const VIEW = { configurationOffset: 0, viewAgeMs: 0, logReadable: true };

/** Simulates the voters and holders of a cluster under the given faults and counts the holders after every step. */
export function runLeaseCluster(options: ClusterOptions, events: readonly ClusterEvent[]): ClusterResult {
	const random = createSeededRandom(options.seed);
	const pendingSteps: ScheduledStep[] = [];
	let order = 0;
	let realTime = 0;
	const sets: EntrySet[] = [
		{ members: options.hosts.slice(0, options.members).map(host => host.name), acknowledgedBy: new Set() },
	];
	const links = options.hosts.map(() => options.hosts.map(createLink));
	let mostHolders = 0;
	let violatedAt: number | undefined;
	let termViolations = 0;
	let highestHeldTerm = 0;
	let lastLeaseKey: string | undefined;
	let leasesSeen = 0;

	const schedule = (at: number, run: () => void): void => {
		const planned = { at, order: order++, run };
		let low = 0;
		let high = pendingSteps.length;
		// Sorted in descending order, so that the next step is the last element.
		while (low < high) {
			const middle = (low + high) >> 1;
			const other = pendingSteps[middle];
			if (other !== undefined && (other.at > at || (other.at === at && other.order > planned.order))) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}
		pendingSteps.splice(low, 0, planned);
	};

	const localTime = ({ host }: Daemon): number => host.clockStart + realTime * host.rate;
	const createVoterAndHolder = (
		host: ClusterHost,
		index: number,
		incarnation: number,
	): Pick<Daemon, 'voter' | 'holder'> => {
		const identity = { entryHost: host.name, incarnation: String(incarnation) };
		return {
			voter: createLeaseVoter({ identity, startedAt: host.clockStart + realTime * host.rate }),
			holder: createLeaseHolder({
				identity,
				cell: CELL,
				random: createSeededRandom(options.seed + 7919 * (index + 1) + incarnation),
			}),
		};
	};
	const daemons: Daemon[] = options.hosts.map((host, index) => ({
		index,
		host,
		...createVoterAndHolder(host, index, 0),
		incarnation: 0,
		pausedUntil: 0,
		lagUntil: 0,
		folded: 0,
	}));

	const linkOf = (from: number, to: number): Link => links[from]?.[to] ?? createLink();

	/** Sends a message. It is lost if the receiver restarts, and delayed while the receiver is paused. */
	const send = (from: Daemon, to: Daemon, onDelivery: () => void): void => {
		const incarnation = to.incarnation;
		const deliver = (): void => {
			if (to.incarnation !== incarnation) {
				return;
			}
			if (realTime < to.pausedUntil) {
				schedule(to.pausedUntil, deliver);
				return;
			}
			onDelivery();
		};
		const delay = 0.5 + random.next();
		const lost = random.next() * 100 < options.lossPercent;
		if (from === to) {
			schedule(realTime, deliver);
			return;
		}
		const link = linkOf(from.index, to.index);
		if (link.againMs !== undefined) {
			schedule(realTime + delay + link.againMs, deliver);
			link.againMs = undefined;
		}
		if (!lost && realTime >= link.cutUntil) {
			schedule(realTime + delay + (realTime < link.slowUntil ? link.delayMs : 0), deliver);
		}
	};

	const sendCalls = (from: Daemon, calls: readonly LeaseCall[], sentAt: number): void => {
		const incarnation = from.incarnation;
		for (const call of calls) {
			const to = daemons.find(daemon => daemon.host.name === call.to);
			if (to === undefined) {
				continue;
			}
			if (call.method === 'lease.release') {
				send(from, to, () => {
					if (to.voter.release(call.release, localTime(to))) {
						to.holder.observeRelease(localTime(to));
					}
				});
				continue;
			}
			const respond = (response: LeaseResponse): void => {
				if (from.incarnation === incarnation) {
					from.holder.receive(response, sentAt, localTime(from));
					tick(from);
				}
			};
			send(from, to, () => {
				const { request } = call;
				const now = localTime(to);
				const response = to.voter.answer(request, { now, entrySetOffset: to.folded, view: VIEW });
				if (response.promised || response.denial === 'starting') {
					to.holder.observeRenewal(request.entryHost, response.highestTerm, now);
				}
				send(to, from, () => respond(response));
			});
		}
	};

	const fold = (daemon: Daemon): void => {
		if (realTime >= daemon.lagUntil) {
			daemon.folded = sets.length - 1;
		}
		const set = sets[daemon.folded];
		if (set?.members.includes(daemon.host.name) && daemon.voter.mayAcknowledge(daemon.folded, localTime(daemon))) {
			set.acknowledgedBy.add(daemon.host.name);
		}
	};

	const tick = (daemon: Daemon): void => {
		fold(daemon);
		const now = localTime(daemon);
		const entryHosts = sets[daemon.folded]?.members ?? [];
		sendCalls(daemon, daemon.holder.tick(now, { entryHosts, entrySetOffset: daemon.folded, view: VIEW }), now);
	};

	const tickPeriodically = (daemon: Daemon): void => {
		if (realTime >= daemon.pausedUntil) {
			tick(daemon);
		}
		schedule(Math.max(realTime + TICK_INTERVAL_MS, daemon.pausedUntil), () => tickPeriodically(daemon));
	};

	const toggleMember = (index: number): void => {
		const last = sets[sets.length - 1];
		const before = sets[sets.length - 2];
		const name = options.hosts[index]?.name;
		if (last === undefined || name === undefined) {
			return;
		}
		const acknowledged = before?.members.filter(member => last.acknowledgedBy.has(member)).length ?? 0;
		const members = last.members.includes(name)
			? last.members.filter(member => member !== name)
			: [...last.members, name];
		if ((before !== undefined && acknowledged < majorityOf(before.members.length)) || members.length === 0) {
			return;
		}
		sets.push({ members, acknowledgedBy: new Set() });
	};

	const apply: { readonly [Type in ClusterEvent['type']]: (event: Extract<ClusterEvent, { type: Type }>) => void } = {
		cut: event => {
			linkOf(event.from, event.to).cutUntil = realTime + event.forMs;
		},
		slow: event => {
			const link = linkOf(event.from, event.to);
			link.slowUntil = realTime + event.forMs;
			link.delayMs = event.delayMs;
		},
		duplicate: event => {
			linkOf(event.from, event.to).againMs = event.againMs;
		},
		pause: event => {
			const daemon = daemons[event.host];
			if (daemon !== undefined) {
				daemon.pausedUntil = Math.max(daemon.pausedUntil, realTime + event.forMs);
			}
		},
		restart: event => {
			const daemon = daemons[event.host];
			if (daemon !== undefined) {
				daemon.incarnation++;
				daemon.pausedUntil = realTime;
				Object.assign(daemon, createVoterAndHolder(daemon.host, daemon.index, daemon.incarnation));
			}
		},
		release: event => {
			const daemon = daemons[event.host];
			if (daemon !== undefined) {
				sendCalls(daemon, daemon.holder.release(), localTime(daemon));
				// A graceful stop is followed by a new process.
				apply.restart({ ...event, type: 'restart' });
			}
		},
		lag: event => {
			const daemon = daemons[event.host];
			if (daemon !== undefined) {
				daemon.lagUntil = realTime + event.forMs;
			}
		},
		'toggle-member': event => toggleMember(event.host),
	};

	const checkHolders = (): string[] => {
		const holders: string[] = [];
		for (const daemon of daemons) {
			const lease = daemon.holder.lease(localTime(daemon));
			if (lease === undefined) {
				continue;
			}
			const leaseKey = `${daemon.host.name}/${daemon.incarnation}/${lease.term}`;
			holders.push(daemon.host.name);
			if (leaseKey !== lastLeaseKey) {
				leasesSeen++;
				termViolations += lease.term <= highestHeldTerm ? 1 : 0;
				highestHeldTerm = Math.max(highestHeldTerm, lease.term);
				lastLeaseKey = leaseKey;
			}
		}
		mostHolders = Math.max(mostHolders, holders.length);
		if (holders.length > 1) {
			violatedAt ??= realTime;
		}
		return holders;
	};

	daemons.forEach(daemon => schedule(random.next() * TICK_INTERVAL_MS, () => tickPeriodically(daemon)));
	for (const event of events) {
		schedule(event.at, () => (apply[event.type] as (applied: ClusterEvent) => void)(event));
	}
	for (let next = pendingSteps.pop(); next !== undefined && next.at <= options.endAt; next = pendingSteps.pop()) {
		realTime = Math.max(realTime, next.at);
		next.run();
		checkHolders();
	}
	return {
		mostHolders,
		violatedAt,
		termViolations,
		holdersAtEnd: checkHolders(),
		leasesSeen,
		setChanges: sets.length - 1,
	};
}
