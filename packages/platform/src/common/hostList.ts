/** State of a host as the platform lists it; the list lags. */
export type ListedHostState = 'live' | 'leaving' | 'down';

/** Answer of `GET /hosts?known={version}`; status 304 without a body when nothing changed. */
export interface HostList {
	readonly version: number;
	readonly hosts: Readonly<Record<string, ListedHostState>>;
}
