import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { startDeskFleet } from '../node/fleet/deskFleet.js';
import { barleyDesk, sampleKey } from '../node/fleet/deskNote.js';
import {
	exchange,
	leaderIndex,
	sendRequest,
	setFaults,
	waitUntil,
	type FleetAnswer,
} from '../node/fleet/fleetClient.js';
import { readLedgers } from '../node/fleet/ledgerReader.js';
import type { LocalFleet } from '../node/fleet/localFleet.js';

describe('long jobs and requests that may not be repeated, over real processes', () => {
	let fleet: LocalFleet;
	const caller = (index: number): string => fleet.daemons[index]?.callerAddress ?? '';
	const key = sampleKey('traders');
	const bearer = { authorization: `Bearer ${key}` };

	beforeAll(async () => {
		fleet = await startDeskFleet([barleyDesk], { workers: 10, daemonDataCentres: ['dc-1', 'dc-2', 'dc-3'] });
	});

	afterAll(async () => {
		await fleet.stop();
	});

	const sendOnce = (daemon: number, requestKey: string, workMs: number): Promise<FleetAnswer> =>
		sendRequest(caller(daemon), {
			queue: 'logistics',
			key,
			body: JSON.stringify({ workMs, mark: requestKey }),
			headers: { 'x-repeatable': 'no', 'x-request-key': requestKey },
		});

	const startsOf = async (mark: string): Promise<number> =>
		(await readLedgers(fleet.workers)).startsByMark.get(mark) ?? 0;

	const submitJob = async (daemon: number, payload: object, requestKey: string): Promise<string> => {
		const answer = await exchange('POST', `${caller(daemon)}/v1/queues/logistics/jobs`, JSON.stringify(payload), {
			...bearer,
			'x-request-key': requestKey,
		});
		expect(answer.status, answer.body).toBe(202);
		return (JSON.parse(answer.body) as { jobId: string }).jobId;
	};

	const untilFinished = (daemon: () => number, jobId: string): Promise<void> =>
		waitUntil(
			`job ${jobId}`,
			async () => {
				const answer = await exchange('GET', `${caller(daemon())}/v1/jobs/${jobId}`, undefined, bearer);
				return answer.status === 200 && (JSON.parse(answer.body) as { state: string }).state === 'finished';
			},
			40_000,
		);

	it('runs a request once when it is repeated through every daemon while it runs and afterwards', async () => {
		const answers = await Promise.all(fleet.daemons.map((_, index) => sendOnce(index, 'booking-1', 200)));
		const later = await sendOnce(1, 'booking-1', 0);
		expect(answers.map(answer => answer.status).sort()).toEqual([200, 409, 409]);
		expect(JSON.parse(later.body)).toMatchObject({ error: { kind: 'request-key-used', outcome: 'unknown' } });
		expect(await startsOf('booking-1')).toBe(1);
	});

	it('does not start a request while its start cannot be recorded, and says so truly', async () => {
		await setFaults(fleet.logAddress, { down: true });
		const answer = await sendOnce(0, 'booking-2', 0);
		expect(JSON.parse(answer.body)).toMatchObject({ error: { outcome: 'not-run' } });
		expect(await startsOf('booking-2')).toBe(0);
		await setFaults(fleet.logAddress, { loseAppendAnswers: true });
		// After a failed append the leader refuses for a second before it tries the log again.
		await waitUntil('an answer', async () => {
			const lost = await sendOnce(1, 'booking-3', 0);
			return lost.status === 200 || !lost.body.includes('log-unavailable');
		});
		await setFaults(fleet.logAddress, {});
		expect(await startsOf('booking-3')).toBe(1);
	});

	it('runs a job once under a repeated submission, keeps its result, and hides it from other teams', async () => {
		const jobId = await submitJob(0, { workMs: 100, result: 'the draft', mark: 'job-1' }, 'job-1');
		expect(await submitJob(1, { workMs: 100, result: 'the draft', mark: 'job-1' }, 'job-1')).toBe(jobId);
		await untilFinished(() => 2, jobId);
		const result = await exchange('GET', `${caller(2)}/v1/jobs/${jobId}/result`, undefined, bearer);
		expect(result.body).toBe('the draft');
		expect(await startsOf('job-1')).toBe(1);
		const foreign = { authorization: `Bearer ${sampleKey('brewers')}` };
		const refused = await exchange('GET', `${caller(2)}/v1/jobs/${jobId}/result`, undefined, foreign);
		expect(refused.status).toBe(404);
		expect(refused.body).not.toContain('draft');
	});

	it('keeps jobs and request keys when the leader is killed in between', async () => {
		const leader = await leaderIndex(fleet, 'barley', 0);
		const survivors = [...fleet.daemons.keys()].filter(index => index !== leader);
		const first = survivors[0] ?? 0;
		const jobId = await submitJob(first, { workMs: 3_000, result: 'late', mark: 'job-2' }, 'job-2');
		const inFlight = sendOnce(first, 'booking-4', 1_500);
		await waitUntil('the start of both', async () => (await startsOf('booking-4')) + (await startsOf('job-2')) >= 2);
		fleet.daemons[leader]?.running.process.kill('SIGKILL');
		const repeated = await sendOnce(survivors[1] ?? 0, 'booking-4', 0);
		expect(JSON.parse(repeated.body)).toMatchObject({ error: { kind: 'request-key-used' } });
		expect((await inFlight).status).toBe(200);
		expect(await startsOf('booking-4')).toBe(1);
		await untilFinished(() => first, jobId);
		expect(await startsOf('job-2')).toBe(1);
	});
});
