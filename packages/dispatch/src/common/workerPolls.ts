import type { DispatchEffect } from './dispatchMessages.js';
import type { GrantTable } from './grantTable.js';
import type { HostTable } from './hostTable.js';
import type { Takeover } from './takeover.js';

/** Decides when each worker is asked for its status. */
export interface WorkerPolls {
	/** The questions that are due. */
	due(now: number): readonly DispatchEffect[];
	/** Asks a host as soon as `at` has passed, because the end of a task there is not known. */
	askSoon(host: string, at: number): void;
	/** A takeover began: every worker is asked at once. */
	restart(): void;
	/** The configuration has new hosts, which are asked at once. */
	hostsAdded(): void;
	nextAt(): number;
}

/** A worker that answers is asked this often. */
const POLL_MS = 5_000;
/** A worker that is not fenced or did not answer is asked this often. */
const RETRY_MS = 1_000;
/** A worker with tasks whose end was not reported is asked this often. */
const UNSETTLED_MS = 500;

/** Creates the schedule of questions. */
export function createWorkerPolls(context: {
	readonly hosts: HostTable;
	readonly grants: GrantTable;
	readonly takeover: Takeover;
}): WorkerPolls {
	const { hosts, grants, takeover } = context;
	const askAt = new Map<string, number>();
	let nextAt = -Infinity;

	const intervalOf = (host: string, unreachable: boolean, now: number): number => {
		if (unreachable || takeover.fenceState(host, now) !== 'fenced') {
			return RETRY_MS;
		}
		for (const held of grants.ofHost(host)) {
			if (held.grant === undefined && held.kind === 'request') {
				return UNSETTLED_MS;
			}
		}
		return POLL_MS;
	};

	return {
		due: now => {
			if (now < nextAt) {
				return [];
			}
			const effects: DispatchEffect[] = [];
			nextAt = Infinity;
			const targets = new Map(takeover.inDoubt(now).map(host => [host.name, { host, unreachable: true }]));
			for (const record of hosts.records()) {
				targets.set(record.host.name, record);
			}
			for (const name of [...askAt.keys()].filter(known => !targets.has(known))) {
				askAt.delete(name);
			}
			for (const [name, { host, unreachable }] of targets) {
				if (now >= (askAt.get(name) ?? -Infinity)) {
					const fenced = takeover.fenceState(name, now) === 'fenced';
					const { address } = host;
					effects.push(
						fenced
							? { type: 'ask-worker', host: name, address }
							: { type: 'fence-worker', host: name, address, term: takeover.term },
					);
					askAt.set(name, now + intervalOf(name, unreachable, now));
				}
				nextAt = Math.min(nextAt, askAt.get(name) ?? Infinity);
			}
			return effects;
		},
		askSoon: (host, at) => {
			const next = Math.min(askAt.get(host) ?? Infinity, at + 1);
			askAt.set(host, next);
			nextAt = Math.min(nextAt, next);
		},
		restart: () => {
			askAt.clear();
			nextAt = -Infinity;
		},
		hostsAdded: () => {
			nextAt = -Infinity;
		},
		nextAt: () => nextAt,
	};
}
