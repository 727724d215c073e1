import { request } from 'undici';
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import type { CellStatus, HostStatus } from '@chestnutwheel/configuration/common/operatorProtocol.js';
import { startDeskFleet } from '../node/fleet/deskFleet.js';
import { barleyDesk, sampleKey } from '../node/fleet/deskNote.js';
import {
	exchange,
	type FleetAnswer,
	readStatus,
	sendRequest,
	setFaults,
	singleUse,
	waitUntil,
} from '../node/fleet/fleetClient.js';
import { readLedgers } from '../node/fleet/ledgerReader.js';
import { type LocalFleet, type LocalWorker } from '../node/fleet/localFleet.js';

const QUEUE = 'pricing';
/** Limit of the teams `traders` and `laboratories` in the sample note. */
const LIMIT = 16;
/** A pool has four hosts, the least of which one may be set aside. */
const WORKERS = 20;
/** The desk has five pools; hosts are dealt to them in turn, beginning with the pool of the queue. */
const POOLS = 5;

interface Sample {
	readonly team: string;
	readonly mark: string;
	readonly daemon: number;
	readonly repeatable: boolean;
	readonly workMs: number;
	readonly deadlineMs: number;
}

interface SentSample extends Sample {
	readonly body: string;
	readonly answer: FleetAnswer;
}

interface ErrorBody {
	readonly error: { readonly kind: string; readonly outcome: string };
}

describe('endpoints that fail, over real processes', () => {
	let fleet: LocalFleet;
	/** All requests of this file that were answered with an error of a daemon. */
	const refusals: SentSample[] = [];
	const control = (): string => fleet.daemons[0]?.entryHost.address ?? '';
	const workersOfPool = (pool: number): LocalWorker[] => fleet.workers.filter((_, index) => index % POOLS === pool);
	const firstWorker = (): LocalWorker => workersOfPool(0)[0] ?? { host: '', address: '' };

	beforeAll(async () => {
		fleet = await startDeskFleet([barleyDesk], { workers: WORKERS, daemonDataCentres: ['dc-1', 'dc-2', 'dc-3'] });
	});

	const barley = async (): Promise<CellStatus | undefined> =>
		(await readStatus(control(), fleet.operatorKey)).cells.barley;

	/** The slot of an attempt with an unknown end stays taken until the worker says that the task does not run. */
	const untilIdle = (): Promise<void> =>
		waitUntil('all slots to be free', async () => {
			const hosts = Object.values((await barley())?.hosts ?? {});
			return hosts.length === WORKERS && hosts.every(host => host.running === 0 && host.state !== 'unreachable');
		});

	afterEach(async () => {
		await Promise.all(fleet.workers.map(worker => setFaults(worker.address, {})));
		await untilIdle();
	});

	afterAll(async () => {
		await fleet.stop();
	});

	const isRefusal = (answer: FleetAnswer): boolean => answer.status !== 200 && answer.body.includes('"outcome"');
	const errorOf = (sent: SentSample): ErrorBody['error'] => (JSON.parse(sent.answer.body) as ErrorBody).error;

	const send = async (sample: Sample): Promise<SentSample> => {
		const { team, mark, daemon, repeatable, workMs, deadlineMs } = sample;
		const body = JSON.stringify({ workMs, mark });
		const answer = await sendRequest(fleet.daemons[daemon]?.callerAddress ?? '', {
			queue: QUEUE,
			key: sampleKey(team),
			body,
			deadlineMs,
			headers: repeatable ? {} : { 'x-repeatable': 'no', 'x-request-key': mark },
		});
		const sent = { ...sample, body, answer };
		if (isRefusal(answer)) {
			refusals.push(sent);
		}
		return sent;
	};

	/** Sends requests at once, through each daemon in turn. */
	const sendMany = (
		name: string,
		count: number,
		rest: Pick<Sample, 'team' | 'repeatable'> & Partial<Sample>,
	): Promise<SentSample[]> =>
		Promise.all(
			Array.from({ length: count }, (_, index) =>
				send({
					mark: `${name}-${index}`,
					daemon: index % fleet.daemons.length,
					workMs: 20,
					deadlineMs: 20_000,
					...rest,
				}),
			),
		);

	const expectOwnAnswer = (sent: SentSample, faulty: string | undefined): void => {
		expect(sent.answer.status, sent.answer.body).toBe(200);
		const fields = JSON.parse(sent.answer.body) as { body: string; team: string; host: string };
		expect(fields).toMatchObject({ body: sent.body, team: sent.team });
		expect(fields.host).not.toBe(faulty);
	};

	/** Marks that a worker has started. */
	const marksStartedOn = async (host: string): Promise<Set<string>> => {
		const { starts } = await readLedgers(fleet.workers);
		return new Set(starts.filter(line => line.host === host).map(line => line.mark ?? ''));
	};

	/** The fault also silences the connection that set it, so that its answer is not waited for. */
	const silenceOpenConnections = async (address: string): Promise<void> => {
		setFaults(address, { silentConnections: true }).catch(() => undefined);
		await waitUntil('the fault to be set', async () => {
			// A question whose connection was opened before the fault came into force is never answered.
			const signal = AbortSignal.timeout(1_000);
			const faults = await exchange('GET', `${address}/faults`, undefined, singleUse, signal).catch(() => undefined);
			return faults !== undefined && (JSON.parse(faults.body) as { silentConnections: boolean }).silentConnections;
		});
	};

	// Guards against callers that wait for connections on which nothing will ever come, and against a false "not run".
	it('ends requests whose connections went silent, and answers those that may be repeated', async () => {
		const { host, address } = firstWorker();
		// Long enough that the work still runs when the fault comes into force.
		const running = { workMs: 8_000, deadlineMs: 40_000 };
		const repeated = sendMany('silent-repeatable', 16, { team: 'brewers', repeatable: true, ...running });
		const once = sendMany('silent-once', 16, { team: 'elevators', repeatable: false, ...running });
		await waitUntil('all requests to run', async () => (await readLedgers(fleet.workers)).startsByMark.size === 32);
		await silenceOpenConnections(address);
		// What the worker says of that moment: on a busy machine a task may have ended before.
		const { silencedMarks: silenced } = await readLedgers(fleet.workers);
		const names = ['silent-repeatable', 'silent-once'];
		expect(names.every(name => [...silenced].some(mark => mark.startsWith(name)))).toBe(true);
		for (const sent of await repeated) {
			expectOwnAnswer(sent, silenced.has(sent.mark) ? host : undefined);
		}
		for (const sent of await once) {
			if (silenced.has(sent.mark)) {
				expect(errorOf(sent)).toMatchObject({ kind: 'endpoint-silent', outcome: 'unknown' });
			} else {
				expectOwnAnswer(sent, undefined);
			}
		}
		const { startsByMark } = await readLedgers(fleet.workers);
		for (const { mark, repeatable } of [...(await repeated), ...(await once)]) {
			expect(startsByMark.get(mark)).toBe(repeatable && silenced.has(mark) ? 2 : 1);
		}
	});

	it.each([
		{ fault: 'crossAnswers', kind: 'answer-mismatched', team: 'maltsters' },
		{ fault: 'truncateAnswers', kind: 'answer-truncated', team: 'brewers' },
		{ fault: 'omitLength', kind: 'answer-truncated', team: 'elevators' },
	])('never passes on an answer of a worker with the fault $fault', async ({ fault, kind, team }) => {
		const { host, address } = firstWorker();
		await setFaults(address, { [fault]: true });
		// Few enough that the retry budget of the team lasts at each daemon.
		const repeated = await sendMany(`${fault}-repeatable`, 24, { team, repeatable: true });
		await untilIdle();
		const once = await sendMany(`${fault}-once`, 24, { team, repeatable: false });
		const { startsByMark } = await readLedgers(fleet.workers);
		const onFaulty = await marksStartedOn(host);
		for (const sent of repeated) {
			expectOwnAnswer(sent, host);
			expect(startsByMark.get(sent.mark)).toBe(onFaulty.has(sent.mark) ? 2 : 1);
		}
		for (const sent of once) {
			expect(startsByMark.get(sent.mark)).toBe(1);
			if (onFaulty.has(sent.mark)) {
				expect(errorOf(sent)).toMatchObject({ kind, outcome: 'unknown' });
			} else {
				expectOwnAnswer(sent, host);
			}
		}
		for (const group of [repeated, once]) {
			expect(group.some(sent => onFaulty.has(sent.mark))).toBe(true);
		}
	});

	it('sets a worker aside that fails everything, and answers its requests by others', async () => {
		const { host, address } = firstWorker();
		await setFaults(address, { failEverything: true });
		const status = async (): Promise<HostStatus | undefined> => (await barley())?.hosts[host];
		let round = 0;
		await waitUntil('the worker to be set aside', async () => {
			round++;
			const groups = ['traders', 'laboratories'].map(team =>
				sendMany(`failing-${team}-${round}`, LIMIT, { team, repeatable: true }),
			);
			(await Promise.all(groups)).flat().forEach(sent => expectOwnAnswer(sent, host));
			return (await status())?.state === 'set-aside';
		});
		expect((await status())?.reason).toMatch(/results failed/);
	});

	it('frees the queue when 500 callers go away at once, and keeps the limit while their tasks run on', async () => {
		const team = 'traders';
		const aborter = new AbortController();
		const headers = { authorization: `Bearer ${sampleKey(team)}`, 'x-deadline-ms': '30000' };
		const callers = Array.from({ length: 500 }, (_, index) =>
			request(`${fleet.daemons[index % fleet.daemons.length]?.callerAddress}/v1/queues/${QUEUE}/requests`, {
				method: 'POST',
				headers,
				body: JSON.stringify({ workMs: 2_000, mark: `cancelled-${index}` }),
				signal: aborter.signal,
			}).then(
				() => 'answered',
				() => 'aborted',
			),
		);
		const waiting = async (): Promise<number> => (await barley())?.waitingByQueue[QUEUE] ?? 0;
		await waitUntil('the callers to wait', async () => (await waiting()) >= 500 - 2 * LIMIT);
		aborter.abort();
		expect((await Promise.all(callers)).filter(end => end === 'aborted').length).toBeGreaterThanOrEqual(
			500 - 2 * LIMIT,
		);
		// The tasks of callers that are gone still run, and these requests may not start beside them.
		const next = await sendMany('next', 2 * LIMIT, { team, repeatable: true });
		next.forEach(sent => expectOwnAnswer(sent, undefined));
		await waitUntil('no request to wait', async () => (await waiting()) === 0);
		const { starts, mostRunningByTeam } = await readLedgers(fleet.workers);
		expect(mostRunningByTeam.get(team)).toBeLessThanOrEqual(LIMIT);
		// Requests that waited when their callers went away never start.
		const started = starts.filter(line => line.mark?.startsWith('cancelled-'));
		expect(started.length).toBeLessThanOrEqual(3 * LIMIT);
	});

	it('says not run only of requests without a start, also when a retry is refused', async () => {
		// The first attempts run and end as unknown; the deadline passes while the retries wait behind other requests.
		await Promise.all(
			[...workersOfPool(0), ...workersOfPool(POOLS - 1)].map(({ address }) =>
				setFaults(address, { crossAnswers: true }),
			),
		);
		for (const team of ['laboratories', 'traders']) {
			await sendMany(`late-${team}`, 5 * LIMIT, { team, repeatable: true, workMs: 150, deadlineMs: 500 });
		}
		const { startsByMark } = await readLedgers(fleet.workers);
		const notRun = refusals.filter(sent => errorOf(sent).outcome === 'not-run');
		expect(notRun.length).toBeGreaterThan(0);
		expect(notRun.filter(sent => startsByMark.has(sent.mark)).map(sent => sent.answer.body)).toEqual([]);
		const ran = refusals.filter(sent => sent.repeatable && startsByMark.has(sent.mark));
		expect(ran.some(sent => errorOf(sent).kind === 'endpoint-failed')).toBe(true);
	});
});
