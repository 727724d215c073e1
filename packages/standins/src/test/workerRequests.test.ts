import { createSeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import type { EndpointAnswer } from '@chestnutwheel/platform/common/workerClient.js';
import type { StartPermit } from '@chestnutwheel/platform/common/workerProtocol.js';
import { afterEach, describe, expect, it } from 'vitest';
import { startWorkerHarness, until, type WorkerHarness } from './workerHarness.js';

let harness: WorkerHarness;

afterEach(() => harness.close());

function fieldsOf(answer: EndpointAnswer): Record<string, unknown> {
	return JSON.parse(Buffer.from(answer.body).toString()) as Record<string, unknown>;
}

describe('requests to a worker', () => {
	it('returns the whole answer of the service with its own body', async () => {
		harness = await startWorkerHarness();
		const permit = harness.permit();
		const answer = await harness.run(permit, { workMs: 1, mark: 'm' });
		expect(answer).toMatchObject({ type: 'answer', status: 200 });
		expect(fieldsOf(answer as EndpointAnswer)).toEqual({
			team: 'team',
			queue: 'queue',
			host: 'worker-1',
			body: '{"workMs":1,"mark":"m"}',
		});
		expect(harness.worker.ledger().entries.map(({ event, end, mark }) => [event, end, mark])).toEqual([
			['start', undefined, 'm'],
			['end', 'finished', 'm'],
		]);
	});

	// A permit that breaks all rules is mended rule by rule; a wrong order would hide a stale leader.
	it('checks permits in the published order and starts nothing that it refuses', async () => {
		harness = await startWorkerHarness({ slots: 1, queues: ['queue'] });
		const { worker, client } = harness;
		const blocker = harness.run(harness.permit(), { workMs: 60_000 });
		await until(() => worker.status().running.length === 1);
		await client.fence(worker.address, 'cell', 5);
		await client.drain(worker.address, worker.status().boot);
		const { boot } = worker.status();
		let broken: Partial<StartPermit> = { term: 4, boot: 'earlier', startByMs: -1, queue: 'other' };
		const expectRefusal = async (reason: string): Promise<void> => {
			const permit = harness.permit(broken);
			expect(await harness.run(permit)).toEqual({ type: 'not-started', reason });
			expect(harness.starts(permit.taskId)).toBe(0);
		};
		await expectRefusal('stale-term');
		broken = { ...broken, term: 5 };
		await expectRefusal('wrong-boot');
		broken = { ...broken, boot };
		await expectRefusal('start-by-passed');
		broken = { ...broken, startByMs: 1e9 };
		await expectRefusal('draining');
		await client.resume(worker.address, boot);
		await expectRefusal('slots-full');
		await client.reboot(worker.address, boot);
		expect(await blocker).toMatchObject({ type: 'unknown', kind: 'endpoint-failed' });
		await until(async () => (await client.status(worker.address).catch(() => undefined)) !== undefined);
		broken = { ...broken, boot: worker.status().boot };
		await expectRefusal('unknown-queue');
	});

	it('refuses starts over connections above the bound, so that a flood of connections cannot take all', async () => {
		harness = await startWorkerHarness({ connections: 1 });
		await harness.client.status(harness.worker.address);
		expect(await harness.run(harness.permit())).toEqual({ type: 'not-started', reason: 'connections-full' });
	});

	it('proves "not started" when no connection could be opened', async () => {
		harness = await startWorkerHarness();
		harness.worker.setFaults({ refuseConnections: true });
		const permit = harness.permit();
		expect(await harness.run(permit)).toMatchObject({ type: 'not-started', reason: 'not-sent' });
		harness.worker.setFaults({});
		await until(async () => (await harness.run(harness.permit())).type === 'answer');
		expect(harness.starts(permit.taskId)).toBe(0);
	});

	// Guards against a request that is reported as not run and sent later, when a connection is free.
	it('never sends a request that was cancelled while it waited for a connection', async () => {
		harness = await startWorkerHarness({}, { connectionsPerWorker: 1 });
		const first = harness.run(harness.permit(), { workMs: 60 });
		const aborter = new AbortController();
		const cancelled = harness.permit();
		const second = harness.run(cancelled, {}, { signal: aborter.signal });
		const late = harness.permit();
		const third = harness.run(late, {}, { deadline: 1 });
		aborter.abort();
		expect(await second).toMatchObject({ type: 'not-started', reason: 'not-sent' });
		expect(await third).toMatchObject({ type: 'not-started', reason: 'not-sent' });
		expect(await first).toMatchObject({ type: 'answer' });
		expect(await harness.run(harness.permit())).toMatchObject({ type: 'answer' });
		expect(harness.starts(cancelled.taskId) + harness.starts(late.taskId)).toBe(0);
	});

	it('says "unknown" for a request that is cancelled or past its deadline while it runs', async () => {
		harness = await startWorkerHarness();
		const aborter = new AbortController();
		const permit = harness.permit();
		const attempt = harness.run(permit, { workMs: 60_000 }, { signal: aborter.signal });
		await until(() => harness.starts(permit.taskId) === 1);
		aborter.abort();
		expect(await attempt).toMatchObject({ type: 'unknown', kind: 'cancelled-running' });
		const overdue = await harness.run(harness.permit(), { workMs: 60_000 }, { deadline: 500 });
		expect(overdue).toMatchObject({ type: 'unknown', kind: 'deadline-exceeded' });
	});

	it.each([
		['answer-truncated', { truncateAnswers: true }, {}],
		['answer-truncated', { omitLength: true }, {}],
		['answer-mismatched', { crossAnswers: true }, {}],
		['answer-too-large', {}, { answerBytes: 8 * 1024 * 1024 + 1 }],
	])('withholds an answer as %s under %j', async (kind, faults, work) => {
		harness = await startWorkerHarness();
		harness.worker.setFaults(faults);
		expect(await harness.run(harness.permit(), work)).toMatchObject({ type: 'unknown', kind });
	});

	it('passes on an answer of exactly 8 MiB', async () => {
		harness = await startWorkerHarness();
		const answer = await harness.run(harness.permit(), { answerBytes: 8 * 1024 * 1024 });
		expect((answer as EndpointAnswer).body.length).toBe(8 * 1024 * 1024);
	});

	it('finds a silent connection while new ones work, and opens a new one for the next request', async () => {
		harness = await startWorkerHarness({}, { connectionsPerWorker: 1 });
		expect(await harness.run(harness.permit())).toMatchObject({ type: 'answer' });
		harness.worker.setFaults({ silentConnections: true });
		const permit = harness.permit();
		expect(await harness.run(permit)).toMatchObject({ type: 'unknown', kind: 'endpoint-silent' });
		expect(harness.starts(permit.taskId)).toBe(0);
		expect(await harness.run(harness.permit())).toMatchObject({ type: 'answer' });

		// The connection of a running request falls silent: the task runs to its end, and its answer is lost.
		const running = harness.permit();
		const attempt = harness.run(running, { workMs: 60 });
		await until(() => harness.starts(running.taskId) === 1);
		harness.worker.setFaults({});
		harness.worker.setFaults({ silentConnections: true });
		expect(await attempt).toMatchObject({ type: 'unknown', kind: 'endpoint-silent' });
		expect(harness.worker.ledger().entries.at(-1)).toMatchObject({ taskId: running.taskId, end: 'finished' });
	});

	it('never ends slow healthy requests, whether the work or its answer is slow', async () => {
		harness = await startWorkerHarness();
		expect(await harness.run(harness.permit(), { workMs: 400 })).toMatchObject({ type: 'answer' });
		harness.worker.setFaults({ answerLateMs: 400 });
		expect(await harness.run(harness.permit())).toMatchObject({ type: 'answer' });
	});

	it('gives up on a request when three status questions in a row are refused', async () => {
		harness = await startWorkerHarness();
		const permit = harness.permit();
		const attempt = harness.run(permit, { workMs: 60_000 });
		await until(() => harness.starts(permit.taskId) === 1);
		harness.worker.setFaults({ refuseConnections: true });
		expect(await attempt).toMatchObject({ type: 'unknown', kind: 'endpoint-silent' });
	});

	it('ends a request at the end of its lease, so that a lost caller cannot hold a slot', async () => {
		harness = await startWorkerHarness();
		const permit = harness.permit({ leaseMs: 20 });
		expect(await harness.run(permit, { workMs: 60_000 })).toMatchObject({ type: 'answer', status: 504 });
		expect(harness.worker.ledger().entries.at(-1)).toMatchObject({ event: 'end', end: 'lease-lapsed' });
		expect(harness.worker.status().running).toEqual([]);
	});

	// Mutation that breaks it: reporting `not-started` for any transport error, or not comparing the task identifier.
	it.each([1, 2, 3])('keeps its statements true under changing faults, seed %i', async seed => {
		const random = createSeededRandom(seed);
		harness = await startWorkerHarness({ slots: 4 }, { callTimeoutMs: 200 });
		const switches = ['failEverything', 'truncateAnswers', 'omitLength', 'crossAnswers', 'silentConnections'] as const;
		const ends = new Set<string>();
		for (let round = 0; round < 15; round++) {
			const chosen = switches[random.nextInteger(switches.length + 2)];
			harness.worker.setFaults(chosen === undefined ? {} : { [chosen]: true });
			const { boot } = harness.worker.status();
			const reboot =
				random.nextInteger(6) === 0
					? harness.client.reboot(harness.worker.address, boot).catch(() => undefined)
					: Promise.resolve();
			await Promise.all(
				Array.from({ length: 8 }, async () => {
					const permit = harness.permit({ startByMs: random.nextInteger(8) === 0 ? -1 : 1e9 });
					const attempt = await harness.run(permit, { workMs: random.nextInteger(20), mark: permit.taskId });
					const starts = harness.starts(permit.taskId);
					ends.add(attempt.type);
					if (attempt.type === 'not-started') {
						expect(starts, permit.taskId).toBe(0);
					} else if (attempt.type === 'answer') {
						expect(starts, permit.taskId).toBe(1);
						const { body, error } = fieldsOf(attempt);
						expect(error ?? (JSON.parse(String(body)) as { mark: string }).mark).toBe(
							attempt.status === 200 ? permit.taskId : 'failed',
						);
					} else {
						expect(starts, permit.taskId).toBeLessThanOrEqual(1);
					}
				}),
			);
			await reboot;
			await until(() =>
				harness.client.status(harness.worker.address).then(
					() => true,
					() => false,
				),
			);
		}
		// Each kind of end must occur, or the rounds above prove nothing.
		expect([...ends].sort()).toEqual(['answer', 'not-started', 'unknown']);
	});
});
