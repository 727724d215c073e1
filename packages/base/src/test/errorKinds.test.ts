import { describe, expect, it } from 'vitest';
import { errorResponses, isErrorKind } from '../common/errorKinds.js';
import { errorResponseOf, kindError, errorKindOf } from '../common/kindError.js';

describe('error kinds', () => {
	it('gives a non-zero exit code and an error status for every kind, so that no failure looks like success', () => {
		for (const [kind, answer] of Object.entries(errorResponses)) {
			expect(answer.exitCode, kind).toBeGreaterThan(0);
			expect(answer.status, kind).toBeGreaterThanOrEqual(400);
		}
	});

	it('keeps the kind through causes and treats foreign errors as internal with an unknown outcome', () => {
		const error = kindError('queue-full', 'the queue is full', { cause: new Error('inner') });
		expect(errorKindOf(error)).toBe('queue-full');
		expect(errorResponseOf(new TypeError('x')).outcome).toBe('unknown');
		expect(isErrorKind('toString')).toBe(false);
	});
});
