import { describe, expect, it } from 'vitest';
import type { ReleaseNote } from '../common/controlRecord.js';
import { foldControlRecord } from '../common/foldControlRecord.js';
import { MAXIMUM_VERDICTS } from '../common/fleetParts.js';
import type { Queue, Team, TeamKey } from '../common/fleetState.js';
import { entryHost, host, note, pool, createTestStream, type TestStream } from './fleetFixture.js';

const queue = (name: string, pools: readonly string[]): Queue => ({ name, pools, open: false, maximumWaiting: 100 });
const teamDefaults = { organisation: 'granary', share: 1, limit: 10 };
const team = (name: string, queues: readonly string[], changes: Partial<Team> = {}): Team => {
	return { ...teamDefaults, name, queues, ...changes };
};
const key = (id: string, team: string, digit: string): TeamKey => ({ id, team, sha256: digit.repeat(64) });

/** Two pools in one cell and one in another; six hosts, a queue per cell, a team with a key, three entry hosts. */
function createFleet(): TestStream {
	const stream = createTestStream();
	const verdict = stream.submit('first', {
		added: {
			pools: [pool('rye'), pool('oats'), pool('far', { cell: 'coast' })],
			hosts: [1, 2, 3, 4].map(number => host(number, 'rye')).concat(host(5, 'oats'), host(6, 'far')),
			queues: [queue('bread', ['rye', 'oats']), queue('fish', ['far'])],
			teams: [team('mill', ['bread'])],
			keys: [key('mill-1', 'mill', 'a')],
			entryHosts: [entryHost(1), entryHost(2), entryHost(3)],
		},
	});
	expect(verdict.reason).toBeUndefined();
	return stream;
}

function claim(stream: TestStream, wave: string, hostName: string, unavailable: readonly string[] = []) {
	const claimId = `claim-${stream.values.length}`;
	return stream.append({ type: 'wave-claim', version: 1, claimId, wave, host: hostName, unavailable });
}

const giveBack = (stream: TestStream, wave: string, hostName: string) =>
	stream.append({ type: 'host-returned', version: 1, wave, host: hostName });

const move = (stream: TestStream, moveId: string, hostName: string, from: string, to: string) =>
	stream.append({ type: 'host-moved', version: 1, moveId, host: hostName, from, to });

const acknowledge = (stream: TestStream, entryHostName: string, entrySetOffset: number) =>
	stream.append({ type: 'entry-acknowledged', version: 1, entryHost: entryHostName, entrySetOffset });

describe('refusals of release notes', () => {
	const cases: readonly [RegExp, Partial<ReleaseNote>][] = [
		[/changes nothing/, {}],
		[/named twice under added/, { added: { hosts: [host(9, 'rye'), host(9, 'oats')] } }],
		[/address/, { added: { hosts: [host(9, 'rye', { address: host(1, 'rye').address })] } }],
		[/already exists/, { added: { hosts: [host(1, 'oats')] } }],
		[/under withdrawn and under changed/, { changed: { pools: [pool('rye')] }, withdrawn: { pools: ['rye'] } }],
		[/host host-9 does not exist/, { changed: { hosts: [host(9, 'rye')] } }],
		[/queue cake does not exist/, { withdrawn: { queues: ['cake'] } }],
		[/unknown pool barley/, { added: { hosts: [host(9, 'barley')] } }],
		[/unknown pool barley/, { added: { queues: [queue('cake', ['barley'])] } }],
		[/unknown queue cake/, { added: { teams: [team('inn', ['cake'])] } }],
		[/unknown team inn/, { added: { keys: [key('inn-1', 'inn', 'b')] } }],
		[/key mill-1 already exists/, { added: { keys: [key('mill-1', 'mill', 'b')] } }],
		[/same hash as key mill-1/, { added: { keys: [key('mill-2', 'mill', 'a')] } }],
		[/changed\.teams\[0\]\.share: found 0/, { changed: { teams: [team('mill', ['bread'], { share: 0 })] } }],
		[/changed\.teams\[0\]\.limit: found -1/, { changed: { teams: [team('mill', ['bread'], { limit: -1 })] } }],
		[/two cells, desk and coast/, { changed: { queues: [queue('bread', ['rye', 'far'])] } }],
		[/two cells, desk and coast/, { changed: { teams: [team('mill', ['bread', 'fish'])] } }],
		[/two cells/, { changed: { pools: [pool('oats', { cell: 'coast' })] } }],
		[/two cells/, { added: { queues: [queue('cake', ['far'])], teams: [team('inn', ['bread', 'cake'])] } }],
		[/has hosts \(1\)/, { withdrawn: { pools: ['oats'] } }],
		[/in use by queue bread/, { withdrawn: { pools: ['oats'], hosts: ['host-5'] } }],
		[/in use by team mill/, { withdrawn: { queues: ['bread'] } }],
		[/still has the key mill-1/, { withdrawn: { teams: ['mill'] } }],
		[/may change one/, { added: { entryHosts: [entryHost(4)] }, withdrawn: { entryHosts: ['entry-1'] } }],
		[/unknown pool barley/, { added: { waves: [{ name: 'w', pools: ['barley'] }] } }],
		[/unknown host host-9/, { added: { waves: [{ name: 'w', hosts: ['host-9'] }] } }],
		[/at least one name/, { added: { waves: [{ name: 'w' }] } }],
		[/wave w does not exist/, { changed: { waves: [{ name: 'w' }] } }],
		[/wave w does not exist/, { withdrawn: { waves: ['w'] } }],
		[/no note has reached/, { writtenAgainst: 7, withdrawn: { hosts: ['host-1'] } }],
	];

	it.each(cases)('refuses with %s and leaves the fleet as it was', (reason, contents) => {
		const stream = createFleet();
		const before = stream.state;
		const verdict = stream.submit('bad', contents);
		expect(verdict).toMatchObject({ type: 'note', accepted: false });
		expect(verdict.reason).toMatch(reason);
		expect({ ...stream.state, verdicts: [], offset: 0 }).toEqual({ ...before, verdicts: [], offset: 0 });
		const refusal = { reason: verdict.reason };
		expect(stream.state.verdicts.at(-1)).toMatchObject({ id: 'bad', accepted: false, refusal });
	});

	it('refuses to move a queue to another cell than the other queues of its team', () => {
		const stream = createFleet();
		const teams = [team('mill', ['bread', 'cake'])];
		stream.submit('cake', { added: { queues: [queue('cake', ['oats'])] }, changed: { teams } });
		expect(stream.submit('far', { changed: { queues: [queue('cake', ['far'])] } }).reason).toMatch(/team mill has/);
	});

	it('takes withdrawals of a whole chain in one note, so that order within a note does not matter', () => {
		const stream = createFleet();
		const added = { hosts: [host(16, 'oats', { address: host(6, 'far').address })] };
		const withdrawn = { pools: ['far'], hosts: ['host-6'], queues: ['fish'] };
		expect(stream.submit('close', { added, withdrawn }).accepted).toBe(true);
	});
});

describe('racing and repeated notes', () => {
	it('refuses the second of two notes that touch one thing, and takes one that touches another', () => {
		const stream = createFleet();
		const seen = stream.state.noteOffset;
		expect(stream.submit('one', { changed: { pools: [pool('rye', { spare: true })] } }).accepted).toBe(true);
		const lost = stream.submit('two', { writtenAgainst: seen, changed: { pools: [pool('rye')] } });
		expect(lost.reason).toMatch(/note one at offset 1 also touched pool\/rye/);
		expect(stream.state.verdicts.at(-1)?.refusal?.kind).toBe('note-conflict');
		expect(stream.submit('three', { writtenAgainst: seen, changed: { pools: [pool('oats')] } }).accepted).toBe(true);
	});

	it('does not apply a copy of a note again, because a lost answer makes people submit twice', () => {
		const stream = createFleet();
		expect(stream.submit('drop', { withdrawn: { hosts: ['host-1'] } }).accepted).toBe(true);
		expect(stream.submit('back', { added: { hosts: [host(1, 'rye')] } }).accepted).toBe(true);
		const copy = stream.submit('drop', { withdrawn: { hosts: ['host-1'] } });
		expect(copy.reason).toMatch(/copy of the note at offset 1/);
		expect(stream.state.hosts['host-1']).toBeDefined();
		expect(stream.state.verdicts).toHaveLength(3);
	});

	it('refuses a note older than the verdicts it remembers, because it could be a forgotten copy', () => {
		const stream = createFleet();
		for (let index = 0; index <= MAXIMUM_VERDICTS; index++) {
			stream.submit(`n-${index}`, { changed: { pools: [pool('far', { cell: 'coast', spare: index % 2 === 0 })] } });
		}
		expect(stream.state.verdicts).toHaveLength(MAXIMUM_VERDICTS);
		expect(stream.submit('first', { writtenAgainst: -1, withdrawn: { hosts: ['host-1'] } }).reason).toMatch(
			/remembered from/,
		);
		expect(stream.state.verdicts.at(-1)?.refusal?.kind).toBe('note-conflict');
	});
});

describe('unreadable records', () => {
	it('refuses corrupt records and malformed notes alike on every daemon and goes on', () => {
		const stream = createFleet();
		const noVersion = '{"type":"note"}';
		for (const text of ['{', 'null', noVersion, '{"type":"x","version":1}', '{"type":"wave-claim","version":1}']) {
			expect(stream.appendText(text)).toMatchObject({ type: 'corrupt', accepted: false });
		}
		const malformed = { type: 'note', version: 1, note: { ...note('bad', {}), surprise: 1 } };
		expect(stream.appendText(JSON.stringify(malformed))).toMatchObject({ type: 'note', accepted: false });
		expect(stream.state.verdicts.at(-1)?.id).toBe('bad');
		const reserved = stream.submit('proto', { withdrawn: { hosts: ['constructor'] } });
		expect(reserved.reason).toMatch(/reserved word/);
	});

	it('stops at a record of a newer format without moving, because guessing could revert what others have', () => {
		const { state } = createFleet();
		const result = foldControlRecord(state, 1, '{"type":"note","version":2,"note":"?"}');
		expect(result).toEqual({ state, newerFormat: { offset: 1, version: 2 } });
	});

	it('ignores an offset that was already applied', () => {
		const stream = createFleet();
		const again = foldControlRecord(stream.state, 0, stream.values[0] ?? '');
		expect(again.state).toBe(stream.state);
		expect(again.verdict?.accepted).toBe(false);
	});
});

describe('the set of entry hosts', () => {
	it('waits for a majority of the previous set between two changes, because their majorities must overlap', () => {
		const stream = createFleet();
		expect(stream.submit('add', { added: { entryHosts: [entryHost(4)] } }).accepted).toBe(true);
		const next = { withdrawn: { entryHosts: ['entry-1'] } };
		expect(stream.submit('early', next).reason).toMatch(/not acknowledged by a majority/);
		expect(acknowledge(stream, 'entry-4', 1).accepted).toBe(true);
		expect(acknowledge(stream, 'entry-2', 1).accepted).toBe(true);
		expect(acknowledge(stream, 'entry-2', 1).reason).toMatch(/already/);
		expect(acknowledge(stream, 'entry-1', 0).reason).toMatch(/offset 1, not of 0/);
		expect(acknowledge(stream, 'entry-9', 1).reason).toMatch(/not an entry host/);
		expect(stream.submit('still-early', next).accepted).toBe(false);
		expect(acknowledge(stream, 'entry-3', 1).accepted).toBe(true);
		expect(stream.submit('in-time', next).accepted).toBe(true);
	});

	it('keeps the last entry host', () => {
		const stream = createTestStream();
		stream.submit('one', { added: { entryHosts: [entryHost(1)] } });
		expect(stream.submit('none', { withdrawn: { entryHosts: ['entry-1'] } }).reason).toMatch(/last entry host/);
	});
});

describe('waves and moves', () => {
	const createWave = () => {
		const stream = createFleet();
		expect(stream.submit('wave', { added: { waves: [{ name: 'w', pools: ['rye'] }] } }).accepted).toBe(true);
		return stream;
	};

	it('checks a claim against the budget at its own offset, with the hosts that the claimant lists', () => {
		const stream = createWave();
		expect(claim(stream, 'w', 'host-1', ['host-4', 'host-6']).accepted).toBe(true);
		expect(claim(stream, 'w', 'host-2', ['host-4']).reason).toMatch(
			/would have 3 unavailable hosts; its budget allows 2/,
		);
		expect(claim(stream, 'w', 'host-2').accepted).toBe(true);
		expect(claim(stream, 'w', 'host-3').accepted).toBe(false);
		expect(giveBack(stream, 'w', 'host-1').accepted).toBe(true);
		expect(claim(stream, 'w', 'host-3').accepted).toBe(true);
	});

	it('checks the budget of each data centre', () => {
		const stream = createWave();
		const budget = { maximumUnavailable: 3, maximumUnavailablePerDataCentre: 1 };
		stream.submit('budget', { changed: { pools: [pool('rye', { budget })] } });
		expect(claim(stream, 'w', 'host-1').accepted).toBe(true);
		expect(claim(stream, 'w', 'host-4').reason).toMatch(/in data centre dc-1 would have 2/);
		expect(claim(stream, 'w', 'host-2').accepted).toBe(true);
	});

	it('fixes the hosts of a wave when its note is accepted', () => {
		const stream = createWave();
		stream.submit('late', { added: { hosts: [host(9, 'rye')] } });
		expect(claim(stream, 'w', 'host-9').reason).toMatch(/not part/);
		expect(claim(stream, 'w', 'host-5').reason).toMatch(/not part/);
	});

	it('does not claim a host twice, in one wave or in two', () => {
		const stream = createWave();
		stream.submit('second', { added: { waves: [{ name: 'v', hosts: ['host-1'] }] } });
		expect(claim(stream, 'w', 'host-1').accepted).toBe(true);
		expect(claim(stream, 'w', 'host-1').reason).toMatch(/is claimed in wave w/);
		expect(claim(stream, 'v', 'host-1').reason).toMatch(/claimed by wave w/);
		expect(giveBack(stream, 'v', 'host-1').accepted).toBe(false);
	});

	it('stops, refuses claims, and goes on by record or by note', () => {
		const stream = createWave();
		const stop = { type: 'wave-stopped', version: 1, wave: 'w', reason: 'host-1 did not return' } as const;
		expect(stream.append(stop).accepted).toBe(true);
		expect(stream.append(stop).accepted).toBe(false);
		expect(claim(stream, 'w', 'host-1').reason).toMatch(/is stopped/);
		expect(stream.submit('other', { changed: { waves: [{ name: 'w', hosts: ['host-5'] }] } }).reason).toMatch(/fixed/);
		expect(stream.submit('resume', { changed: { waves: [{ name: 'w' }] } }).accepted).toBe(true);
		expect(stream.state.waves.w).toMatchObject({ state: 'running', reason: undefined });
		expect(stream.submit('again', { changed: { waves: [{ name: 'w' }] } }).reason).toMatch(/only a stopped wave/);
		stream.append(stop);
		expect(stream.append({ type: 'wave-resumed', version: 1, wave: 'w', reason: 'back' }).accepted).toBe(true);
		expect(stream.append({ type: 'wave-resumed', version: 1, wave: 'w', reason: 'back' }).accepted).toBe(false);
	});

	it('lets the claimed hosts of a withdrawn wave return, and makes no new claim for it', () => {
		const stream = createWave();
		claim(stream, 'w', 'host-1');
		expect(stream.submit('stop', { withdrawn: { waves: ['w'] } }).accepted).toBe(true);
		expect(claim(stream, 'w', 'host-2').reason).toMatch(/is withdrawn/);
		expect(stream.submit('reuse', { added: { waves: [{ name: 'w', hosts: ['host-5'] }] } }).reason).toMatch(
			/has not ended/,
		);
		expect(giveBack(stream, 'w', 'host-1').accepted).toBe(true);
		expect(stream.state.waves.w?.state).toBe('withdrawn');
		expect(stream.submit('again', { added: { waves: [{ name: 'w', hosts: ['host-5'] }] } }).accepted).toBe(true);
	});

	it('finishes with the last host, also when that host is withdrawn', () => {
		const stream = createFleet();
		stream.submit('wave', { added: { waves: [{ name: 'w', hosts: ['host-1', 'host-2'] }] } });
		claim(stream, 'w', 'host-1');
		giveBack(stream, 'w', 'host-1');
		expect(stream.state.waves.w?.state).toBe('running');
		claim(stream, 'w', 'host-2');
		stream.submit('gone', { withdrawn: { hosts: ['host-2'] } });
		expect(stream.state.waves.w).toMatchObject({ state: 'finished', hosts: { 'host-1': 'returned' } });
	});

	it('keeps a moved host claimed, and refuses to take it into a pool whose budget is used up', () => {
		const stream = createWave();
		claim(stream, 'w', 'host-1');
		expect(stream.submit('move', { changed: { hosts: [host(1, 'oats')] } }).accepted).toBe(true);
		expect(stream.state.waves.w?.hosts['host-1']).toBe('claimed');
		stream.submit('tight', { changed: { pools: [pool('oats', { budget: { maximumUnavailable: 1 } })] } });
		claim(stream, 'w', 'host-2');
		expect(stream.submit('full', { changed: { hosts: [host(2, 'oats')] } }).reason).toMatch(/cannot enter it/);
		expect(move(stream, 'm', 'host-2', 'rye', 'oats').reason).toMatch(/cannot enter it/);
		expect(giveBack(stream, 'w', 'host-1').accepted).toBe(true);
		expect(move(stream, 'm', 'host-2', 'rye', 'oats').accepted).toBe(true);
	});

	it('moves a host only out of the named pool, within its cell, and once for each move identifier', () => {
		const stream = createFleet();
		expect(move(stream, 'a', 'host-1', 'oats', 'rye').reason).toMatch(/in pool rye, not in oats/);
		expect(move(stream, 'a', 'host-1', 'rye', 'far').reason).toMatch(/another cell/);
		expect(move(stream, 'a', 'host-1', 'rye', 'barley').reason).toMatch(/does not exist/);
		expect(move(stream, 'a', 'host-9', 'rye', 'oats').reason).toMatch(/does not exist/);
		expect(move(stream, 'a', 'host-1', 'rye', 'oats').accepted).toBe(true);
		stream.submit('back', { changed: { hosts: [host(1, 'rye')] } });
		expect(move(stream, 'a', 'host-1', 'rye', 'oats').reason).toMatch(/already applied/);
	});
});
