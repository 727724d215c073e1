import { createSteppedClock } from '@chestnutwheel/base/common/clock.js';
import { errorKindOf } from '@chestnutwheel/base/common/kindError.js';
import type { WorkerJobState } from '@chestnutwheel/platform/common/workerProtocol.js';
import { afterEach, describe, expect, it } from 'vitest';
import { createWorkerLedger } from '../node/workerLedger.js';
import { startWorkerHarness, until, type WorkerHarness } from './workerHarness.js';

let harness: WorkerHarness;

/** Starts a job and returns its task identifier. */
async function startJob(payload: object, checkpoint?: string, leaseMs = 60_000): Promise<string> {
	const permit = harness.permit({ leaseMs });
	const start = { permit, payload: JSON.stringify(payload), checkpoint };
	expect(await harness.client.startJob(harness.worker.address, start)).toEqual({ type: 'started' });
	return permit.taskId;
}

async function untilState(taskId: string, state: WorkerJobState): Promise<void> {
	await until(async () => (await harness.client.jobStatus(harness.worker.address, taskId))?.state === state);
}

describe('jobs on a worker', () => {
	afterEach(() => harness.close());

	it('keeps a result until it is deleted, so that a leader change does not lose it', async () => {
		harness = await startWorkerHarness();
		const { client, worker } = harness;
		const taskId = await startJob({ workMs: 5, result: 'r' });
		await untilState(taskId, 'finished');
		expect(await client.jobStatus(worker.address, taskId)).toMatchObject({ result: 'r' });
		await client.deleteJob(worker.address, taskId);
		expect(await client.jobStatus(worker.address, taskId)).toBeUndefined();
		await client.deleteJob(worker.address, taskId);
	});

	it('fails a job that is told to, one with a bad payload, and all under the fault', async () => {
		harness = await startWorkerHarness();
		await untilState(await startJob({ fail: true }), 'failed');
		await untilState(await startJob(['not an object']), 'failed');
		harness.worker.setFaults({ failEverything: true });
		await untilState(await startJob({ result: 'r' }), 'failed');
		expect(harness.worker.status().running).toEqual([]);
	});

	it('does not run a job twice when its start is repeated', async () => {
		harness = await startWorkerHarness();
		const permit = harness.permit();
		const start = { permit, payload: '{"workMs":60000}' };
		await harness.client.startJob(harness.worker.address, start);
		expect(await harness.client.startJob(harness.worker.address, start)).toEqual({ type: 'started' });
		expect(harness.starts(permit.taskId)).toBe(1);
	});

	it('takes a checkpoint, stops, and goes on from the checkpoint', async () => {
		harness = await startWorkerHarness();
		const { client, worker } = harness;
		const taskId = await startJob({ workMs: 1e9 }, '{"doneMs":5000}');
		const { checkpoint } = (await client.checkpointJob(worker.address, taskId)) ?? {};
		expect((JSON.parse(checkpoint ?? '{}') as { doneMs: number }).doneMs).toBeGreaterThanOrEqual(5_000);
		expect(await client.stopJob(worker.address, taskId)).toMatchObject({ state: 'stopped', checkpoint });
		expect(worker.status().running).toEqual([]);
		await untilState(await startJob({ workMs: 5_000, result: 'r' }, checkpoint), 'finished');
	});

	it('throttles a job and lets it run on', async () => {
		harness = await startWorkerHarness();
		const { client, worker } = harness;
		const taskId = await startJob({ workMs: 1e9 }, '{"doneMs":999990000}');
		expect(await client.throttleJob(worker.address, taskId, 1e-9)).toMatchObject({ state: 'running' });
		await new Promise(resolve => setTimeout(resolve, 20));
		expect(await client.jobStatus(worker.address, taskId)).toMatchObject({ state: 'running' });
		expect(await client.throttleJob(worker.address, taskId, 1)).toMatchObject({ state: 'running' });
		await client.stopJob(worker.address, taskId);

		const short = await startJob({ workMs: 50, result: 'r' });
		await client.throttleJob(worker.address, short, 0.5);
		await untilState(short, 'finished');
	});

	it('ends a job whose lease is not renewed and refuses renewals by an earlier leader', async () => {
		harness = await startWorkerHarness();
		const { client, worker } = harness;
		const renewed = await startJob({ workMs: 1e9 }, undefined, 800);
		const renewal = { cell: 'cell', term: 2, leaseMs: 60_000 };
		expect(await client.renewJob(worker.address, renewed, renewal)).toMatchObject({ state: 'running' });
		// This lease ends after the first one would have, without its renewal.
		const lapsing = await harness.client.startJob(worker.address, {
			permit: harness.permit({ term: 2, leaseMs: 900 }),
			payload: '{"workMs":60000}',
		});
		expect(lapsing).toEqual({ type: 'started' });
		await until(() => worker.status().running.length === 1);
		expect(worker.status().running[0]?.taskId).toBe(renewed);
		expect(await client.renewJob(worker.address, renewed, { ...renewal, term: 1 })).toBeUndefined();
		expect(await client.renewJob(worker.address, 'unknown', renewal)).toBeUndefined();
	});

	it('proves that a job was not started, and does not claim it for an answer to another one', async () => {
		harness = await startWorkerHarness();
		const { client, worker } = harness;
		const start = { permit: harness.permit({ boot: 'earlier' }), payload: '{}' };
		expect(await client.startJob(worker.address, start)).toEqual({ type: 'not-started', reason: 'wrong-boot' });
		worker.setFaults({ refuseConnections: true });
		const refused = await client.startJob('http://127.0.0.1:1', start);
		expect(refused).toMatchObject({ type: 'not-started', reason: 'not-sent' });
	});
});

describe('a worker host', () => {
	afterEach(() => harness.close());

	it('obeys commands for its present boot only, so that a late copy cannot reboot a host twice', async () => {
		harness = await startWorkerHarness();
		const { client, worker } = harness;
		const { boot } = worker.status();
		expect(await client.drain(worker.address, boot)).toMatchObject({ type: 'done', status: { draining: true } });
		expect(await client.reboot(worker.address, boot)).toMatchObject({ type: 'done' });
		await until(() => worker.status().boot !== boot);
		await until(async () => (await client.status(worker.address).catch(() => undefined)) !== undefined);
		expect(await client.status(worker.address)).toMatchObject({ draining: false, running: [], terms: {} });
		for (const command of ['drain', 'resume', 'reboot'] as const) {
			expect(await client[command](worker.address, boot)).toEqual({ type: 'refused', reason: 'wrong-boot' });
		}
	});

	it('stays away after a reboot while the fault is set', async () => {
		harness = await startWorkerHarness({ rebootMs: 1 });
		const { client, worker } = harness;
		const { boot } = worker.status();
		worker.setFaults({ doNotReturnAfterReboot: true });
		await client.reboot(worker.address, boot);
		await until(() => worker.status().boot !== boot);
		await new Promise(resolve => setTimeout(resolve, 20));
		const error: unknown = await client.status(worker.address).catch((caught: unknown) => caught);
		expect(errorKindOf(error)).toBe('platform-unreachable');
		worker.setFaults({});
		await until(async () => (await client.status(worker.address).catch(() => undefined)) !== undefined);
	});

	it('reports the highest term to a leader that is behind', async () => {
		harness = await startWorkerHarness();
		const { client, worker } = harness;
		await client.fence(worker.address, 'cell', 7);
		expect(await client.fence(worker.address, 'cell', 6)).toMatchObject({ terms: { cell: 7 } });
	});

	it('reports usage as of some time ago', async () => {
		const clock = createSteppedClock();
		harness = await startWorkerHarness({ clock, usageLagMs: 100 });
		await startJob({ workMs: 60_000 });
		clock.advance(150);
		const usage = await harness.client.usage(harness.worker.address);
		expect(usage).toEqual({ host: 'worker-1', slotMsByTeam: { team: 50 }, lagMs: 100 });
		const ledger = createWorkerLedger('worker-2', clock);
		const task = { taskId: 't', team: 'team', queue: 'queue', kind: 'request', term: 1 } as const;
		ledger.started(task, 'boot', undefined);
		clock.advance(30);
		ledger.ended('t', 'finished');
		clock.advance(1);
		expect(ledger.slotMsByTeam(clock.now())).toEqual({ team: 30 });
		expect(ledger.slotMsByTeam(clock.now())).toEqual({ team: 30 });
		ledger.resetUsage();
		expect(ledger.slotMsByTeam(clock.now())).toEqual({});
		expect(ledger.read().entries).toHaveLength(2);
	});
});
