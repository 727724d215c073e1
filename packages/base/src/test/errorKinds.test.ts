import { describe, expect, it } from 'vitest';
import { errorAnswers, isErrorKind } from '../common/errorKinds.js';
import { answerOf, kindError, kindOf } from '../common/kindError.js';

describe('error kinds', () => {
	it('gives a non-zero exit code and an error status for every kind, so that no failure looks like success', () => {
		for (const [kind, answer] of Object.entries(errorAnswers)) {
			expect(answer.exitCode, kind).toBeGreaterThan(0);
			expect(answer.status, kind).toBeGreaterThanOrEqual(400);
		}
	});

	it('keeps the kind through causes and treats foreign errors as internal with an unknown outcome', () => {
		const error = kindError('queue-full', 'the queue is full', { cause: new Error('inner') });
		expect(kindOf(error)).toBe('queue-full');
		expect(answerOf(new TypeError('x')).outcome).toBe('unknown');
		expect(isErrorKind('toString')).toBe(false);
	});
});
