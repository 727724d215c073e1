import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { NoteItems, NoteNames, ReleaseNote } from '@chestnutwheel/configuration/common/controlRecord.js';
import { startDeskFleet } from '../node/fleet/deskFleet.js';
import { barleyDesk, sampleKey } from '../node/fleet/deskNote.js';
import {
	exchange,
	leaderIndex,
	readStatus,
	readView,
	sendRequest,
	setFaults,
	submitNote,
	waitUntil,
	waitUntilLed,
	waitUntilReady,
} from '../node/fleet/fleetClient.js';
import { readLedgers } from '../node/fleet/ledgerReader.js';
import { startLoad, type LoadDriver, type SentRequest } from '../node/fleet/loadDriver.js';
import type { LocalFleet } from '../node/fleet/localFleet.js';

/** Limit of the team `traders` in the sample note; the load asks for three times as much. */
const LIMIT = 16;

describe('failures of real processes under load', () => {
	let fleet: LocalFleet;
	let noteOffset = 0;
	const control = (index: number): string => fleet.daemons[index]?.entryHost.address ?? '';
	const everyDaemon = (): number[] => [...fleet.daemons.keys()];

	beforeEach(async () => {
		fleet = await startDeskFleet([barleyDesk], {
			workers: 10,
			daemonDataCentres: ['dc-1', 'dc-2', 'dc-3'],
			balancerDelayMs: 500,
		});
		noteOffset = 0;
	});

	afterEach(async () => {
		await fleet.stop();
	});

	const start = (name: string): LoadDriver =>
		startLoad({
			name,
			addresses: () => fleet.daemons.map(daemon => daemon.callerAddress),
			queue: 'pricing',
			key: sampleKey('traders'),
			concurrency: 3 * LIMIT,
			workMs: 20,
			deadlineMs: 20_000,
		});

	const untilSent = (load: LoadDriver, count: number): Promise<void> =>
		waitUntil(`${count} requests`, () => load.sent().length >= count, 30_000);

	const failed = (sent: readonly SentRequest[]): readonly SentRequest[] =>
		sent.filter(request => request.answer?.status !== 200);

	const expectLimitsKept = async (): Promise<void> => {
		const ledgers = await readLedgers(fleet.workers);
		expect(ledgers.mostRunningByTeam.get('traders')).toBeLessThanOrEqual(LIMIT);
		expect(ledgers.mostRunningOnOneWorker).toBeLessThanOrEqual(8);
	};

	const submit = async (
		through: number,
		id: string,
		part: { added?: NoteItems; changed?: NoteItems; withdrawn?: NoteNames },
	): Promise<number> => {
		const note: ReleaseNote = { id, author: 'test', writtenAgainst: noteOffset, ...part };
		const answer = await submitNote(control(through), fleet.operatorKey, note);
		if (answer.status === 200) {
			noteOffset = (JSON.parse(answer.body) as { verdict: { offset: number } }).verdict.offset;
		}
		return answer.status;
	};

	const untilInForce = (indexes: readonly number[]): Promise<void> =>
		waitUntil('the note to be in force', async () => {
			const states = await Promise.all(indexes.map(index => readView(control(index), fleet.operatorKey, 'state')));
			return states.every(state => (state as { noteOffset: number }).noteOffset === noteOffset);
		});

	it('keeps the limit and loses no request of the other daemons when the leader is killed', async () => {
		const load = start('kill');
		await untilSent(load, 100);
		const leader = await leaderIndex(fleet, 'barley', 0);
		load.exclude(leader);
		fleet.daemons[leader]?.running.process.kill('SIGKILL');
		const before = load.sent().length;
		await untilSent(load, before + 300);
		const lost = failed(await load.stop()).filter(request => request.daemon !== leader);
		expect(lost).toEqual([]);
		await expectLimitsKept();
	});

	it('keeps the limit when the leader is paused past its lease and resumed', async () => {
		const load = start('pause');
		await untilSent(load, 100);
		const leader = await leaderIndex(fleet, 'barley', 0);
		load.exclude(leader);
		fleet.daemons[leader]?.running.process.kill('SIGSTOP');
		const survivor = everyDaemon().find(index => index !== leader) ?? 0;
		await waitUntil('a new leader', async () => (await leaderIndex(fleet, 'barley', survivor)) !== leader);
		await untilSent(load, load.sent().length + 200);
		fleet.daemons[leader]?.running.process.kill('SIGCONT');
		load.include(leader);
		await untilSent(load, load.sent().length + 200);
		const sent = await load.stop();
		expect(failed(sent).filter(request => request.daemon !== leader)).toEqual([]);
		await expectLimitsKept();
	});

	it('cuts no request when every daemon is stopped in turn and started again', async () => {
		const load = start('stop');
		await untilSent(load, 100);
		for (const index of everyDaemon()) {
			const ended = fleet.daemons[index]?.running.end('SIGTERM');
			// The balancer sees the failing health check and takes the daemon out before its listener closes.
			await waitUntil('the health check to fail', async () => {
				const health = await exchange('GET', `${control(index)}/health`, undefined, {});
				return health.status === 503;
			});
			load.exclude(index);
			expect(await ended).toBe(0);
			await fleet.restartDaemon(index);
			await waitUntilReady(control(index));
			load.include(index);
			await untilSent(load, load.sent().length + 100);
		}
		expect(failed(await load.stop())).toEqual([]);
		await expectLimitsKept();
	});

	it('goes on during an outage of the log, refuses notes as not applied, and takes them afterwards', async () => {
		const load = start('outage');
		await untilSent(load, 50);
		await setFaults(fleet.logAddress, { down: true });
		const withdrawal = { withdrawn: { keys: ['brewers-1'] } };
		expect(await submit(0, 'during-outage', withdrawal)).toBe(503);
		// Longer than the 4 s after which a single daemon with a stale view stops serving.
		await new Promise(resolve => setTimeout(resolve, 5_000));
		const answer = await sendRequest(fleet.daemons[1]?.callerAddress ?? '', {
			queue: 'pricing',
			key: sampleKey('brewers'),
		});
		expect(answer.status, answer.body).toBe(200);
		await setFaults(fleet.logAddress, {});
		await waitUntil('the log to be readable', async () => (await submit(0, 'during-outage', withdrawal)) === 200);
		await untilInForce(everyDaemon());
		for (const daemon of fleet.daemons) {
			const refused = await sendRequest(daemon.callerAddress, { queue: 'pricing', key: sampleKey('brewers') });
			expect(refused.status).toBe(401);
		}
		expect(failed(await load.stop())).toEqual([]);
		await expectLimitsKept();
	});

	it('keeps the accepted state when all daemons are replaced, and serves nothing while the log is down', async () => {
		expect(await submit(0, 'withdraw', { withdrawn: { keys: ['brewers-1'] } })).toBe(200);
		await setFaults(fleet.logAddress, { down: true });
		await Promise.all(fleet.daemons.map(daemon => daemon.running.end('SIGKILL')));
		for (const index of everyDaemon()) {
			await fleet.restartDaemon(index);
		}
		const early = await sendRequest(fleet.daemons[0]?.callerAddress ?? '', {
			queue: 'pricing',
			key: sampleKey('traders'),
		});
		expect(JSON.parse(early.body)).toMatchObject({ error: { kind: 'not-ready', outcome: 'not-run' } });
		await setFaults(fleet.logAddress, {});
		await Promise.all(everyDaemon().map(index => waitUntilReady(control(index))));
		await waitUntilLed(control(0), fleet.operatorKey);
		await untilInForce(everyDaemon());
		const withdrawn = await sendRequest(fleet.daemons[1]?.callerAddress ?? '', {
			queue: 'pricing',
			key: sampleKey('brewers'),
		});
		expect(withdrawn.status).toBe(401);
		const valid = await sendRequest(fleet.daemons[1]?.callerAddress ?? '', {
			queue: 'pricing',
			key: sampleKey('traders'),
		});
		expect(valid.status, valid.body).toBe(200);
	});

	it('gives no new work to a leaving host', async () => {
		const load = start('leaving');
		await untilSent(load, 50);
		const leaving = fleet.workers[0]?.host ?? '';
		const answer = await exchange('POST', `${fleet.hostListAddress}/hosts`, JSON.stringify({ [leaving]: 'leaving' }), {
			'content-type': 'application/json',
		});
		expect(answer.status, answer.body).toBe(200);
		await waitUntil('the leader to know', async () => {
			const { cells } = await readStatus(control(0), fleet.operatorKey);
			return cells.barley?.hosts[leaving]?.state === 'leaving';
		});
		const startsBefore = (await readLedgers(fleet.workers)).starts.filter(line => line.host === leaving).length;
		await untilSent(load, load.sent().length + 300);
		expect(failed(await load.stop())).toEqual([]);
		const startsAfter = (await readLedgers(fleet.workers)).starts.filter(line => line.host === leaving).length;
		// Grants that were on their way when the list was read may still start.
		expect(startsAfter - startsBefore).toBeLessThanOrEqual(8);
	});
});
