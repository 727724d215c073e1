import { describe, expect, it } from 'vitest';
import { decideCandidacy, isTermVacant, type CandidacyFacts } from '../common/candidacy.js';

const STANDSTILL_MS = 2_500;

const facts: CandidacyFacts = {
	record: 'other',
	isDenied: false,
	peersAnswered: 0,
	isHeardByPeer: false,
	standstillMs: 0,
};

describe('a daemon without contact to the leader', () => {
	it.each([
		{ record: 'resigned', isDenied: false },
		{ record: 'own-former', isDenied: false },
		{ record: 'other', isDenied: true },
	] as const)(
		'becomes a candidate without querying peers when the term is vacant: $record, denied $isDenied',
		({ record, isDenied }) => {
			expect(isTermVacant(record, isDenied)).toBe(true);
			expect(decideCandidacy({ ...facts, record, isDenied }, STANDSTILL_MS)).toBe('stand');
		},
	);

	it('queries its peers about a leader that is only unreachable to it', () => {
		expect(isTermVacant('other', false)).toBe(false);
		expect(isTermVacant('none', false)).toBe(false);
		expect(decideCandidacy(facts, STANDSTILL_MS)).toBe('wait');
		expect(decideCandidacy({ ...facts, peersAnswered: 2 }, STANDSTILL_MS)).toBe('stand');
		expect(decideCandidacy({ ...facts, peersAnswered: 2, isHeardByPeer: true }, STANDSTILL_MS)).toBe('follow');
	});
});
