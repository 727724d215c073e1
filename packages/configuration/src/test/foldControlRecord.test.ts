import { describe, expect, it } from 'vitest';
import { entryHost, host, pool, createTestStream } from './fleetFixture.js';

describe('fold of the control stream', () => {
	it('accepts a first note and makes its items the state of the fleet', () => {
		const stream = createTestStream();
		const verdict = stream.submit('first', {
			added: { pools: [pool('rye')], hosts: [host(1, 'rye')], entryHosts: [entryHost(1), entryHost(2)] },
		});
		expect(verdict).toEqual({ offset: 0, type: 'note', accepted: true });
		expect(Object.keys(stream.state.hosts)).toEqual(['host-1']);
		expect(stream.state).toMatchObject({ offset: 0, noteOffset: 0, entrySetOffset: 0 });
	});
});
