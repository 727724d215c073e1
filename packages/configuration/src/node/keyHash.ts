import { createHash } from 'node:crypto';

/** Random bytes of a key; 256 bits, so that a key cannot be guessed from its hash. */
export const KEY_BYTES = 32;

/** SHA-256 of a key in lower-case hexadecimal, as the accepted state stores it. */
export function hashKey(key: string): string {
	return createHash('sha256').update(key, 'utf8').digest('hex');
}

/**
 * Makes a key from random bytes. The prefix makes a key that leaked into a file easy to find.
 * @throws RangeError when there are fewer than 32 bytes
 */
export function createKey(randomBytes: Uint8Array): string {
	if (randomBytes.length < KEY_BYTES) {
		throw new RangeError(`a key needs ${KEY_BYTES} random bytes, not ${randomBytes.length}`);
	}
	return `cwk_${Buffer.from(randomBytes).toString('base64url')}`;
}
