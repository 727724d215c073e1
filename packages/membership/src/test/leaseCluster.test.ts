import { readdirSync, readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { anyFaults, expectLeaderAfterFaults, expectOneHolder, seeds } from './leaseArbitraries.js';
import { runLeaseCluster, type ClusterEvent, type ClusterOptions } from './leaseCluster.js';

describe('lease cluster under any faults', () => {
	it.each(seeds)('never has two holders of a cell at the same real time (seed %i)', seed => {
		expectOneHolder(anyFaults, seed);
	});

	it('has one leader again after the faults end', () => {
		expectLeaderAfterFaults(anyFaults);
	});
});

describe('a network partition that isolates two of five entry hosts', () => {
	/** After their failed candidatures, the two hosts must still accept renewals of the leader's lower term. */
	it.each([1, 2, 5])('lets the leader renew at all voters after it ends (seed %i)', seed => {
		const hosts = [0, 1, 2, 3, 4].map(index => ({ name: `entry-${index}`, rate: 1, clockStart: 0 }));
		const options: ClusterOptions = {
			unit: 'lease-cluster',
			seed,
			hosts,
			members: 5,
			lossPercent: 0,
			endAt: 4_000,
		};
		const leader = hosts.findIndex(({ name }) => name === runLeaseCluster(options, []).holdersAtEnd[0]);
		expect(leader).toBeLessThan(3);
		const side = [0, 1, 2];
		const cuts = side.flatMap(from =>
			[3, 4].flatMap((to): ClusterEvent[] => [
				{ at: 4_000, type: 'cut', from, to, forMs: 6_000 },
				{ at: 4_000, type: 'cut', from: to, to: from, forMs: 6_000 },
			]),
		);
		// Only the leader and the two isolated hosts keep running, so the lease needs the promises of all three.
		const pauses = side
			.filter(host => host !== leader)
			.map((host): ClusterEvent => ({ at: 14_000, type: 'pause', host, forMs: 1_000_000 }));
		const result = runLeaseCluster({ ...options, endAt: 18_000 }, [...cuts, ...pauses]);
		expect(result).toMatchObject({ leasesSeen: 1, holdersAtEnd: [hosts[leader]?.name] });
	});
});

describe('recorded traces', () => {
	const folder = new URL('traces/', import.meta.url);
	const names = readdirSync(folder).filter(name => name.startsWith('lease-cluster'));
	it.each(names)('%s ends with the recorded outcome', name => {
		const lines = readFileSync(new URL(name, folder), 'utf8')
			.split('\n')
			.filter(line => line !== '')
			.map(line => JSON.parse(line) as unknown);
		const faults = lines.slice(1).filter((line): line is ClusterEvent => (line as { at?: number }).at !== undefined);
		const { outcome } = lines.at(-1) as { readonly outcome: object };
		expect(runLeaseCluster(lines[0] as ClusterOptions, faults)).toMatchObject(outcome);
	});
});
