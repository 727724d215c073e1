import { describe, expect, it } from 'vitest';
import { errorResponses, isErrorKind } from '../common/errorKinds.js';
import { errorResponseOf, kindError, errorKindOf } from '../common/kindError.js';

describe('error kinds', () => {
	it('maps every kind to a non-zero exit code and an error status, so that no failure is reported as success', () => {
		for (const [kind, response] of Object.entries(errorResponses)) {
			expect(response.exitCode, kind).toBeGreaterThan(0);
			expect(response.status, kind).toBeGreaterThanOrEqual(400);
		}
	});

	it('preserves the kind of an error with a cause and treats other errors as internal with an unknown outcome', () => {
		const error = kindError('queue-full', 'the queue is full', { cause: new Error('inner') });
		expect(errorKindOf(error)).toBe('queue-full');
		expect(errorResponseOf(new TypeError('x')).outcome).toBe('unknown');
		expect(isErrorKind('toString')).toBe(false);
	});
});
