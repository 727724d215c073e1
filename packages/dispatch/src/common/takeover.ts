import type { Host } from '@chestnutwheel/configuration/common/fleetState.js';
import { CLOCK_RATE_MARGIN, END_MARGIN_MS, LONGEST_REQUEST_MS } from './dispatchPolicy.js';

/** What a takeover knows about one worker. */
export type FenceState = 'asked' | 'fenced' | 'in-doubt' | 'expired';

/** The steps from a gained lease to the first grant. */
export interface Takeover {
	/** Starts over for a new term; every worker is unfenced and every entry host unasked. */
	begin(term: number, now: number, hosts: readonly Host[], entryHosts: readonly string[]): void;
	end(): void;
	/** A host that was added, or got another address, after the takeover began. */
	addHost(host: Host): void;
	/** @param seenTerm the term that the worker named */
	workerAnswered(host: string, seenTerm: number): void;
	workerSilent(host: string): void;
	entryAnswered(entryHost: string, term: number): void;
	/** Whether all entry hosts and workers have answered or were given up. */
	ready(now: number): boolean;
	/** `expired` when the host may no longer run work of an earlier leader but has not been fenced. */
	fenceState(host: string, now: number): FenceState;
	/** Hosts in doubt, with the slots that count on them. */
	inDoubt(now: number): readonly Host[];
	/** The next time at which `ready` or `inDoubt` changes by itself. */
	nextChangeAt(now: number): number | undefined;
	readonly term: number;
}

/** Silence for this long counts as no answer; the callers' own time-out is 400 ms. */
const ANSWER_LIMIT_MS = 700;

/** Time from the gain of a lease until all work of earlier leaders has ended, even on a slow clock. */
const IN_DOUBT_MS = LONGEST_REQUEST_MS * (1 + CLOCK_RATE_MARGIN) + END_MARGIN_MS;

/** Creates a takeover that has not begun. */
export function createTakeover(): Takeover {
	let term = 0;
	let beganAt = -Infinity;
	const workers = new Map<string, { readonly host: Host; state: 'asked' | 'fenced' | 'in-doubt' }>();
	const openEntryHosts = new Set<string>();

	const asksEnded = (now: number): boolean => now >= beganAt + ANSWER_LIMIT_MS;

	return {
		begin: (newTerm, now, hosts, entryHosts) => {
			term = newTerm;
			beganAt = now;
			workers.clear();
			for (const host of hosts) {
				workers.set(host.name, { host, state: 'asked' });
			}
			openEntryHosts.clear();
			for (const entryHost of entryHosts) {
				openEntryHosts.add(entryHost);
			}
		},
		end: () => {
			workers.clear();
			openEntryHosts.clear();
			beganAt = -Infinity;
		},
		addHost: host => {
			// An earlier leader that knew a newer configuration may have started work there.
			workers.set(host.name, { host, state: 'in-doubt' });
		},
		workerAnswered: (host, seenTerm) => {
			const worker = workers.get(host);
			if (worker === undefined) {
				return;
			}
			// A fenced worker that names a lower term has restarted. Permits of earlier leaders name an older boot, so it
			// stays fenced. A higher term means that another leader has taken over.
			const restarted = worker.state === 'fenced' && seenTerm < term;
			worker.state = seenTerm === term || restarted ? 'fenced' : 'in-doubt';
		},
		workerSilent: host => {
			const worker = workers.get(host);
			if (worker?.state === 'asked') {
				worker.state = 'in-doubt';
			}
		},
		entryAnswered: (entryHost, answeredTerm) => {
			if (answeredTerm === term) {
				openEntryHosts.delete(entryHost);
			}
		},
		ready: now =>
			asksEnded(now) || (openEntryHosts.size === 0 && [...workers.values()].every(worker => worker.state !== 'asked')),
		fenceState: (host, now) => {
			const state = workers.get(host)?.state ?? 'expired';
			return state !== 'fenced' && now >= beganAt + IN_DOUBT_MS ? 'expired' : state;
		},
		inDoubt: now =>
			now >= beganAt + IN_DOUBT_MS
				? []
				: [...workers.values()].filter(worker => worker.state !== 'fenced').map(worker => worker.host),
		nextChangeAt: now => [beganAt + ANSWER_LIMIT_MS, beganAt + IN_DOUBT_MS].find(at => at > now),
		get term() {
			return term;
		},
	};
}
