import { describe, expect, it } from 'vitest';
import { stateDifference } from '../common/noteDifference.js';
import { planNote } from '../common/notePlan.js';
import { revertNote } from '../common/revertNote.js';
import { parseSnapshot, serializeSnapshot } from '../common/snapshot.js';
import { createKey, hashKey } from '../node/keyHash.js';
import { createTestStream, host, note, noteValue, pool } from './fleetFixture.js';

function createFleet() {
	const stream = createTestStream();
	const hosts = [host(1, 'rye'), host(2, 'rye'), host(3, 'oats')];
	stream.submit('first', { added: { pools: [pool('rye'), pool('oats')], hosts } });
	stream.submit('wave', { added: { waves: [{ name: 'w', pools: ['rye'] }] } });
	for (const name of ['host-1', 'host-2']) {
		stream.append({ type: 'wave-claim', version: 1, claimId: name, wave: 'w', host: name, unavailable: [] });
	}
	return stream;
}

describe('planNote', () => {
	it('shows moves, budgets and waves that the note would break, without changing the state', () => {
		const { state } = createFleet();
		const changed = { pools: [pool('rye', { budget: { maximumUnavailable: 1 } })], hosts: [host(1, 'oats')] };
		const withdrawn = { hosts: ['host-2'] };
		const plan = planNote(state, note('n', { writtenAgainst: state.noteOffset, changed, withdrawn }));
		expect(plan).toMatchObject({ verdict: { accepted: true }, budgets: ['rye'] });
		expect(plan.moves).toEqual([{ host: 'host-1', from: 'rye', to: 'oats' }]);
		expect(plan.drains).toEqual([{ host: 'host-2', reason: 'withdrawn' }]);
		expect(plan.warnings.join('\n')).toMatch(/2 claimed hosts, above its new budget of 1[^]*has claimed host-2/);
		expect(state.hosts['host-2']).toBeDefined();
		expect(planNote(state, note('first')).warnings).toEqual(['note first was already submitted; its verdict stands']);
	});
});

describe('revertNote', () => {
	it('restores what was there, and says what it leaves alone', () => {
		const stream = createFleet();
		const before = stream.state;
		const contents = {
			added: { pools: [pool('barley')], hosts: [host(4, 'barley')] },
			changed: { pools: [pool('oats', { spare: true })] },
			withdrawn: { hosts: ['host-3'] },
		};
		expect(stream.submit('n', contents).accepted).toBe(true);
		const reversal = revertNote(note('n', contents), before, stream.state, { id: 'undo', author: 'nadia' });
		expect(stream.appendText(noteValue(reversal.note)).accepted).toBe(true);
		expect(stateDifference(before, stream.state)).toEqual([]);
		const again = revertNote(note('n', contents), before, stream.state, { id: 'again', author: 'nadia' });
		expect(again.leftAlone).toContain('host host-4 is already withdrawn');
		expect(again.note).not.toHaveProperty('changed');
	});
});

describe('snapshots', () => {
	it('refuses a changed text, another format and a state that breaks the schema', () => {
		const text = serializeSnapshot(createFleet().state);
		expect(parseSnapshot(text)?.hosts['host-1']).toMatchObject({ pool: 'rye' });
		const wrongState = serializeSnapshot({ ...createFleet().state, noteOffset: -7 });
		const others = [
			text.replace('oats', 'oath'),
			text.slice(0, -9),
			text.replace('fleet-snap', 'fleet-ship'),
			wrongState,
		];
		expect(others.map(parseSnapshot)).toEqual([undefined, undefined, undefined, undefined]);
	});
});

describe('keys', () => {
	it('hashes as SHA-256 and refuses too few random bytes', () => {
		expect(hashKey('abc')).toBe('ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad');
		expect(() => createKey(new Uint8Array(31))).toThrow(RangeError);
	});
});
