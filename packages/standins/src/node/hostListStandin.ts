import type { Clock } from '@chestnutwheel/base/common/clock.js';
import { createSystemClock } from '@chestnutwheel/base/node/systemClock.js';
import type { HostList, ListedHostState } from '@chestnutwheel/platform/common/hostList.js';
import { z } from 'zod';
import { addFaultRoutes, createStandinServer, type Standin } from './standinServer.js';

/** Fault switches of the host list. */
export const hostListFaultsSchema = z.strictObject({
	/** The list stays at the version that is visible when the switch is set. */
	stale: z.boolean().default(false),
	/** Every read is answered with 503. */
	down: z.boolean().default(false),
	/** Time until a change becomes visible, in place of the one that the stand-in was started with. */
	lagMs: z.number().min(0).optional(),
});

/** Fault switches of the host list. */
export type HostListFaults = z.infer<typeof hostListFaultsSchema>;

/** Options of {@link createHostListStandin}. */
export interface HostListStandinOptions {
	/** 0, the default, lets the operating system choose. */
	readonly port?: number;
	/** Time until a change becomes visible; 0 by default. */
	readonly lagMs?: number;
	/** The hosts at the start. */
	readonly hosts?: Readonly<Record<string, ListedHostState>>;
	readonly clock?: Clock;
}

/** A stand-in for the host list. */
export interface HostListStandin extends Standin<HostListFaults> {
	/** Sets the states of hosts; `undefined` takes a host off the list. */
	setHosts(changes: Readonly<Record<string, ListedHostState | undefined>>): void;
}

const changesSchema = z.record(z.string().min(1), z.enum(['live', 'leaving', 'down', 'absent']));

const readQuerySchema = z.object({ known: z.coerce.number().int().min(0).optional() });

/** Starts a stand-in for the host list. */
export async function createHostListStandin(options: HostListStandinOptions = {}): Promise<HostListStandin> {
	const { port = 0, lagMs = 0, hosts = {}, clock = createSystemClock() } = options;
	const server = createStandinServer(port, 4 * 1024 * 1024);
	let faults = hostListFaultsSchema.parse({});
	let visible: HostList = { version: 1, hosts };
	/** Changes that are not visible yet, oldest first. */
	let hidden: { readonly list: HostList; readonly visibleAt: number }[] = [];

	/** The list that readers see now. */
	const visibleList = (): HostList => {
		if (!faults.stale) {
			const now = clock.now();
			visible = hidden.filter(change => change.visibleAt <= now).at(-1)?.list ?? visible;
			hidden = hidden.filter(change => change.list.version > visible.version);
		}
		return visible;
	};

	const setHosts: HostListStandin['setHosts'] = changes => {
		visibleList();
		const newest = hidden.at(-1)?.list ?? visible;
		const changed = Object.entries({ ...newest.hosts, ...changes }).filter(
			(entry): entry is [string, ListedHostState] => entry[1] !== undefined,
		);
		const list = { version: newest.version + 1, hosts: Object.fromEntries(changed) };
		hidden.push({ list, visibleAt: clock.now() + (faults.lagMs ?? lagMs) });
	};

	const setFaults = (changed: HostListFaults): void => {
		visibleList();
		faults = changed;
	};

	const { application } = server;
	addFaultRoutes(application, hostListFaultsSchema, { get: () => faults, set: setFaults });

	application.get('/hosts', async (request, reply) => {
		if (faults.down) {
			return reply.code(503).send({ error: 'unavailable' });
		}
		const parsed = readQuerySchema.safeParse(request.query);
		if (!parsed.success) {
			return reply.code(400).send({ error: 'bad-request', message: parsed.error.message });
		}
		const list = visibleList();
		return parsed.data.known === list.version ? reply.code(304).send() : reply.send(list);
	});

	application.post('/hosts', async (request, reply) => {
		const parsed = changesSchema.safeParse(request.body);
		if (!parsed.success) {
			return reply.code(400).send({ error: 'bad-request', message: parsed.error.message });
		}
		setHosts(
			Object.fromEntries(
				Object.entries(parsed.data).map(([name, state]) => [name, state === 'absent' ? undefined : state]),
			),
		);
		return reply.send({ version: hidden.at(-1)?.list.version ?? visible.version });
	});

	await server.listen();
	return {
		address: server.address,
		setFaults: changed => setFaults(hostListFaultsSchema.parse(changed)),
		setHosts,
		close: () => server.close(),
	};
}
