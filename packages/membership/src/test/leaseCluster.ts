import { createSeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import { createLeaseHolder, type LeaseCall, type LeaseHolder } from '../common/leaseHolder.js';
import type { LeaseResponse } from '../common/leaseMessages.js';
import { createLeaseVoter, type LeaseVoter } from '../common/leaseVoter.js';
import { majorityOf } from '../common/majority.js';

/** One entry host of the modelled cluster. `rate` is its clock's milliseconds per real millisecond. */
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
	/** How many of the hosts, from the first, are in the first entry set. */
	readonly members: number;
	/** Messages that are lost at random, in percent. */
	readonly lossPercent: number;
	/** Real time until which the cluster runs. */
	readonly endAt: number;
}

/** A fault or a change at a real time. Hosts go by their index; durations are real milliseconds. */
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
	/** A note that adds or withdraws one entry host; the model refuses it as the fold does. */
	| { readonly type: 'toggle-member'; readonly host: number }
);

/** What the checker counted by its own real time. */
export interface ClusterResult {
	/** Most daemons that believed at one real time that they hold the cell. */
	readonly mostHolders: number;
	/** When that was first so, if it was more than one. */
	readonly violatedAt: number | undefined;
	/** Two daemons held under the same term, or a later holder had a lower term. */
	readonly termViolations: number;
	/** Names of the holders at the end. */
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

interface Planned {
	readonly at: number;
	readonly order: number;
	readonly run: () => void;
}

interface Link {
	cutUntil: number;
	slowUntil: number;
	delayMs: number;
	/** The next message on this link arrives a second time after this delay. */
	againMs: number | undefined;
}

const createLink = (): Link => ({ cutUntil: 0, slowUntil: 0, delayMs: 0, againMs: undefined });

const TICK_EVERY_MS = 50;
const CELL = 'desk';
const VIEW = { configurationOffset: 0, viewAgeMs: 0, logReadable: true };

/** Runs voters and holders of a whole cluster against the stated faults and counts the holders at every event. */
export function runLeaseCluster(options: ClusterOptions, events: readonly ClusterEvent[]): ClusterResult {
	const random = createSeededRandom(options.seed);
	const plan: Planned[] = [];
	let order = 0;
	let real = 0;
	const sets: EntrySet[] = [
		{ members: options.hosts.slice(0, options.members).map(host => host.name), acknowledgedBy: new Set() },
	];
	const links = options.hosts.map(() => options.hosts.map(createLink));
	let mostHolders = 0;
	let violatedAt: number | undefined;
	let termViolations = 0;
	let highestHeld = 0;
	let lastHeld: string | undefined;
	let leasesSeen = 0;

	const schedule = (at: number, run: () => void): void => {
		const planned = { at, order: order++, run };
		let low = 0;
		let high = plan.length;
		// The plan is kept with the next entry last.
		while (low < high) {
			const middle = (low + high) >> 1;
			const other = plan[middle];
			if (other !== undefined && (other.at > at || (other.at === at && other.order > planned.order))) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}
		plan.splice(low, 0, planned);
	};

	const local = ({ host }: Daemon): number => host.clockStart + real * host.rate;
	const unitsOf = (host: ClusterHost, index: number, incarnation: number): Pick<Daemon, 'voter' | 'holder'> => {
		const identity = { entryHost: host.name, incarnation: String(incarnation) };
		return {
			voter: createLeaseVoter({ identity, startedAt: host.clockStart + real * host.rate }),
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
		...unitsOf(host, index, 0),
		incarnation: 0,
		pausedUntil: 0,
		lagUntil: 0,
		folded: 0,
	}));

	const linkOf = (from: number, to: number): Link => links[from]?.[to] ?? createLink();

	/** Sends one message; a message to a restarted process is lost, one to a paused process waits. */
	const send = (from: Daemon, to: Daemon, take: () => void): void => {
		const incarnation = to.incarnation;
		const deliver = (): void => {
			if (to.incarnation !== incarnation) {
				return;
			}
			if (real < to.pausedUntil) {
				schedule(to.pausedUntil, deliver);
				return;
			}
			take();
		};
		const delay = 0.5 + random.next();
		const lost = random.next() * 100 < options.lossPercent;
		if (from === to) {
			schedule(real, deliver);
			return;
		}
		const link = linkOf(from.index, to.index);
		if (link.againMs !== undefined) {
			schedule(real + delay + link.againMs, deliver);
			link.againMs = undefined;
		}
		if (!lost && real >= link.cutUntil) {
			schedule(real + delay + (real < link.slowUntil ? link.delayMs : 0), deliver);
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
					if (to.voter.release(call.release, local(to))) {
						to.holder.voterReleased(local(to));
					}
				});
				continue;
			}
			const respond = (response: LeaseResponse): void => {
				if (from.incarnation === incarnation) {
					from.holder.receive(response, sentAt, local(from));
					tick(from);
				}
			};
			send(from, to, () => {
				const { request } = call;
				const now = local(to);
				const response = to.voter.answer(request, { now, entrySetOffset: to.folded, view: VIEW });
				if (response.promised || response.denial === 'starting') {
					to.holder.observeRenewal(request.entryHost, response.highestTerm, now);
				}
				send(to, from, () => respond(response));
			});
		}
	};

	const fold = (daemon: Daemon): void => {
		if (real >= daemon.lagUntil) {
			daemon.folded = sets.length - 1;
		}
		const set = sets[daemon.folded];
		if (set?.members.includes(daemon.host.name) && daemon.voter.mayAcknowledge(daemon.folded, local(daemon))) {
			set.acknowledgedBy.add(daemon.host.name);
		}
	};

	const tick = (daemon: Daemon): void => {
		fold(daemon);
		const now = local(daemon);
		const entryHosts = sets[daemon.folded]?.members ?? [];
		sendCalls(daemon, daemon.holder.tick(now, { entryHosts, entrySetOffset: daemon.folded, view: VIEW }), now);
	};

	const tickForever = (daemon: Daemon): void => {
		if (real >= daemon.pausedUntil) {
			tick(daemon);
		}
		schedule(Math.max(real + TICK_EVERY_MS, daemon.pausedUntil), () => tickForever(daemon));
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
			linkOf(event.from, event.to).cutUntil = real + event.forMs;
		},
		slow: event => {
			const link = linkOf(event.from, event.to);
			link.slowUntil = real + event.forMs;
			link.delayMs = event.delayMs;
		},
		duplicate: event => {
			linkOf(event.from, event.to).againMs = event.againMs;
		},
		pause: event => {
			const daemon = daemons[event.host];
			if (daemon !== undefined) {
				daemon.pausedUntil = Math.max(daemon.pausedUntil, real + event.forMs);
			}
		},
		restart: event => {
			const daemon = daemons[event.host];
			if (daemon !== undefined) {
				daemon.incarnation++;
				daemon.pausedUntil = real;
				Object.assign(daemon, unitsOf(daemon.host, daemon.index, daemon.incarnation));
			}
		},
		release: event => {
			const daemon = daemons[event.host];
			if (daemon !== undefined) {
				sendCalls(daemon, daemon.holder.release(), local(daemon));
				// The process is replaced, as after a graceful stop.
				apply.restart({ ...event, type: 'restart' });
			}
		},
		lag: event => {
			const daemon = daemons[event.host];
			if (daemon !== undefined) {
				daemon.lagUntil = real + event.forMs;
			}
		},
		'toggle-member': event => toggleMember(event.host),
	};

	const check = (): string[] => {
		const holders: string[] = [];
		for (const daemon of daemons) {
			const lease = daemon.holder.lease(local(daemon));
			if (lease === undefined) {
				continue;
			}
			const holding = `${daemon.host.name}/${daemon.incarnation}/${lease.term}`;
			holders.push(daemon.host.name);
			if (holding !== lastHeld) {
				leasesSeen++;
				termViolations += lease.term <= highestHeld ? 1 : 0;
				highestHeld = Math.max(highestHeld, lease.term);
				lastHeld = holding;
			}
		}
		mostHolders = Math.max(mostHolders, holders.length);
		if (holders.length > 1) {
			violatedAt ??= real;
		}
		return holders;
	};

	daemons.forEach(daemon => schedule(random.next() * TICK_EVERY_MS, () => tickForever(daemon)));
	for (const event of events) {
		schedule(event.at, () => (apply[event.type] as (applied: ClusterEvent) => void)(event));
	}
	for (let next = plan.pop(); next !== undefined && next.at <= options.endAt; next = plan.pop()) {
		real = Math.max(real, next.at);
		next.run();
		check();
	}
	return { mostHolders, violatedAt, termViolations, holdersAtEnd: check(), leasesSeen, setChanges: sets.length - 1 };
}
