import { readdirSync, readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { anyEvents, expectLeaderAfterFaults, expectOneHolder, seeds } from './leaseArbitraries.js';
import { runLeaseCluster, type ClusterEvent, type ClusterOptions } from './leaseCluster.js';

describe('lease cluster under any faults', () => {
	it.each(seeds)('never has two holders of a cell at one real time (seed %i)', seed => {
		expectOneHolder(anyEvents, seed);
	});

	it('has one leader again after the faults end', () => {
		expectLeaderAfterFaults(anyEvents);
	});
});

describe('recorded traces', () => {
	const folder = new URL('traces/', import.meta.url);
	const names = readdirSync(folder).filter(name => name.startsWith('lease-cluster'));
	it.each(names)('%s keeps to one holder', name => {
		const lines = readFileSync(new URL(name, folder), 'utf8')
			.split('\n')
			.filter(line => line !== '')
			.map(line => JSON.parse(line) as unknown);
		const faults = lines.slice(1).filter((line): line is ClusterEvent => (line as { at?: number }).at !== undefined);
		expect(runLeaseCluster(lines[0] as ClusterOptions, faults).mostHolders).toBe(1);
	});
});
