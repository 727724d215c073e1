import { describe, expect, it } from 'vitest';
import type { EngineEffect } from '../common/engineMessages.js';
import { createEngineHarness, harnessJob, harnessQueue, harnessStep, type EngineHarness } from './engineHarness.js';

const pools = [{ name: 'desk', isStandby: false, guardsRoom: false }];
const queues = [harnessQueue('desk')];
const workers = ['w0', 'w1', 'w2'];

const isHostOrder = ({ type }: EngineEffect): boolean => type === 'host-order';

/** Creates a leader of three hosts, one of which is due for maintenance. */
function createFleet(): EngineHarness {
	const harness = createEngineHarness({ pools, queues });
	workers.forEach((name, host) => harness.addWorker(name, 'desk', { host: `host-${host}` }));
	harness.listHosts(workers.map((worker, host) => ({ host: `host-${host}`, pool: 'desk', worker })));
	harness.engine.wavesChanged([{ wave: 1, hosts: ['host-1'], durationMs: 60_000, maximumDown: 1 }], harness.now);
	return harness;
}

describe('a leader that hands over its term', () => {
	// It went on to journal starts and orders to hosts that it did not send, and the successor had to wait until they were void.
	it('records no decision that it can no longer carry out', () => {
		const harness = createFleet();
		harness.engine.quiesce();
		harness.submit('0000000000000001', 'desk', harnessJob(harnessStep()));
		harness.advance(400);
		expect(harness.takeEffects().filter(({ type }) => type === 'start' || type === 'host-order')).toEqual([]);
		expect(harness.journal.map(({ type }) => type)).toContain('accepted');
		expect(harness.journal.filter(({ type }) => type === 'started' || type === 'host-ordered')).toEqual([]);
	});

	it('journals that an order was not sent, so that the host serves on', () => {
		const harness = createFleet();
		harness.advance(400);
		expect(harness.takeEffects().filter(isHostOrder)).toHaveLength(1);
		harness.engine.quiesce();
		harness.engine.hostOrderAnswered('host-1', { type: 'not-sent' }, harness.now);
		harness.advance(20);
		expect(harness.journal.at(-1)).toMatchObject({ type: 'host-settled', host: 'host-1', isDone: false });
	});

	it('journals the acceptance of an order that was in flight', () => {
		const harness = createFleet();
		harness.advance(400);
		harness.engine.quiesce();
		harness.engine.hostOrderAnswered('host-1', { type: 'accepted' }, harness.now);
		harness.advance(20);
		expect(harness.journal.at(-1)).toMatchObject({ type: 'host-accepted', host: 'host-1' });
	});
});
