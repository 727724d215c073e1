import type { Host } from '@chestnutwheel/configuration/common/fleetState.js';
import type { ListedHostState } from '@chestnutwheel/platform/common/hostList.js';

/** The true state of one host of the model. */
export interface ModelHost {
	readonly host: Host;
	up: boolean;
	boot: number;
	draining: boolean;
	/** When each running task ends. */
	tasks: number[];
	/** When the host is up again; infinite when it does not return. */
	upAt: number;
	/** The next reboot ends only then. */
	stuckUntil: number;
	setAside: boolean;
	leaving: boolean;
	/** Tasks that end before this time fail. */
	failsUntil: number;
	/** Since when the host is away, set aside or leaving. */
	unavailableSince: number | undefined;
}

/** The hosts of the model. */
export interface ModelHosts {
	readonly all: ReadonlyMap<string, ModelHost>;
	/** Lets time pass: reboots and tasks end. @returns the results of the tasks that ended */
	advance(now: number): readonly { readonly host: string; readonly succeeded: boolean }[];
	crash(name: string, now: number, forMs: number): void;
	reboot(name: string, now: number): void;
	listing(): Readonly<Record<string, ListedHostState>>;
}

/** Creates hosts that are up and idle. */
export function createModelHosts(hosts: readonly Host[], rebootMs: number, drainSurvivesReboot: boolean): ModelHosts {
	const all = new Map(
		hosts.map(host => [
			host.name,
			{
				host,
				up: true,
				boot: 1,
				draining: false,
				tasks: [] as number[],
				upAt: 0,
				stuckUntil: 0,
				setAside: false,
				leaving: false,
				failsUntil: 0,
				unavailableSince: undefined as number | undefined,
			},
		]),
	);

	const takeDown = (name: string, upAt: number): void => {
		const host = all.get(name);
		if (host !== undefined) {
			host.upAt = host.up ? upAt : Math.max(host.upAt, upAt);
			host.up = false;
			host.tasks = [];
		}
	};

	return {
		all,
		advance: now => {
			const results = [];
			for (const [name, host] of all) {
				if (!host.up && now >= host.upAt) {
					host.up = true;
					host.boot++;
					host.draining &&= drainSurvivesReboot;
				}
				const ended = host.tasks.filter(endsAt => endsAt <= now);
				host.tasks = host.tasks.filter(endsAt => endsAt > now);
				results.push(...ended.map(() => ({ host: name, succeeded: now >= host.failsUntil })));
				const away = !host.up || host.setAside || host.leaving;
				host.unavailableSince = away ? (host.unavailableSince ?? now) : undefined;
			}
			return results;
		},
		crash: (name, now, forMs) => takeDown(name, now + forMs),
		reboot: (name, now) => takeDown(name, Math.max(now + rebootMs, all.get(name)?.stuckUntil ?? 0)),
		listing: () => {
			const stateOf = (host: ModelHost): ListedHostState => (host.leaving ? 'leaving' : host.up ? 'live' : 'down');
			return Object.fromEntries([...all].map(([name, host]) => [name, stateOf(host)]));
		},
	};
}
