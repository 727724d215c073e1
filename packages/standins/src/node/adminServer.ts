import { addFaultRoutes, createStandinServer, jsonBody, type StandinServer } from './standinServer.js';
import { workerFaultsSchema } from './workerFaults.js';
import type { WorkerStandin } from './workerStandin.js';

/**
 * Starts a server beside the workers of one process. It answers also while they refuse connections or reboot.
 * `/faults` sets the switches of all workers, `/faults/{host}` those of one, `/ledger` reads the ledgers of all.
 */
export async function createAdminServer(port: number, workers: readonly WorkerStandin[]): Promise<StandinServer> {
	const server = createStandinServer(port, 1024 * 1024);
	const { application } = server;
	let common = workerFaultsSchema.parse({});
	addFaultRoutes(application, workerFaultsSchema, {
		get: () => common,
		set: faults => {
			common = faults;
			workers.forEach(worker => worker.setFaults(faults));
		},
	});
	application.post<{ Params: { host: string } }>('/faults/:host', (request, reply) => {
		const worker = workers.find(candidate => candidate.host === request.params.host);
		const faults = workerFaultsSchema.safeParse(jsonBody(request.body));
		if (worker === undefined || !faults.success) {
			return reply.code(worker === undefined ? 404 : 400).send({ error: 'bad-request' });
		}
		worker.setFaults(faults.data);
		return reply.send(worker.faults());
	});
	application.get('/ledger', () => {
		const ledgers = workers.map(worker => worker.ledger());
		return {
			dropped: ledgers.reduce((sum, ledger) => sum + ledger.dropped, 0),
			entries: ledgers.flatMap(ledger => ledger.entries).sort((left, right) => left.atMs - right.atMs),
		};
	});
	await server.listen();
	return server;
}
