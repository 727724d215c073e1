import type { ListedHostState } from '@chestnutwheel/platform/common/hostList.js';
import type { HostStatus } from './waveMessages.js';

/** Why a host counts as available or not. */
export type HostCondition = 'open' | 'set-aside' | 'down' | 'leaving' | 'unlisted' | 'unreachable' | 'unheard';

/** What the leader has been told about the hosts of its cell. */
export interface HostViews {
	takeList(hosts: Readonly<Record<string, ListedHostState>>): void;
	takeStatus(status: HostStatus, now: number): void;
	setAside(host: string): void;
	takeBack(host: string): void;
	/** Forgets what only a leader learns: statuses and hosts set aside. */
	forget(): void;
	/** The last status, when the host answered and the answer is recent; `undefined` otherwise. */
	answerOf(host: string, now: number): HostStatus | undefined;
	isListedLive(host: string): boolean;
	conditionOf(host: string, now: number): HostCondition;
}

/**
 * Age at which a status no longer counts: three polls of 5 s. A leader that was paused therefore makes no claim from
 * what it knew before the pause.
 */
export const STATUS_VALID_MS = 15_000;

const conditionByListing: Readonly<Record<ListedHostState, HostCondition | undefined>> = {
	live: undefined,
	leaving: 'leaving',
	down: 'down',
};

/** Creates an empty view: every host counts as unavailable until it is listed and has answered. */
export function createHostViews(): HostViews {
	let listed: Readonly<Record<string, ListedHostState>> = {};
	const statuses = new Map<string, { readonly status: HostStatus; readonly requestedAt: number }>();
	const setAside = new Set<string>();

	const recentStatus = (host: string, now: number): HostStatus | undefined => {
		const known = statuses.get(host);
		return known !== undefined && now - known.requestedAt <= STATUS_VALID_MS ? known.status : undefined;
	};

	return {
		takeList: hosts => {
			listed = hosts;
		},
		takeStatus: (status, now) => statuses.set(status.host, { status, requestedAt: status.requestedAt ?? now }),
		setAside: host => setAside.add(host),
		takeBack: host => setAside.delete(host),
		forget: () => {
			statuses.clear();
			setAside.clear();
		},
		answerOf: (host, now) => {
			const status = recentStatus(host, now);
			return status?.reachable === true ? status : undefined;
		},
		isListedLive: host => listed[host] === 'live',
		conditionOf: (host, now) => {
			const listing = listed[host];
			if (listing === undefined) {
				return 'unlisted';
			}
			const byListing = conditionByListing[listing];
			if (byListing !== undefined) {
				return byListing;
			}
			const status = recentStatus(host, now);
			if (status === undefined) {
				return 'unheard';
			}
			if (!status.reachable) {
				return 'unreachable';
			}
			return setAside.has(host) ? 'set-aside' : 'open';
		},
	};
}
