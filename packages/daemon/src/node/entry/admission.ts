import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { kindError } from '@chestnutwheel/base/common/kindError.js';
import type { ErrorKind } from '@chestnutwheel/base/common/errorKinds.js';

/** Why this daemon takes no new work now; `undefined` when it does. */
export type ServiceCheck = () => { readonly kind: ErrorKind; readonly reason: string } | undefined;

/** Bounds what this daemon holds at once and refuses work that it may not take. */
export interface Admission {
	/**
	 * Admits one request and counts its bytes until the returned function is called.
	 * @throws `overloaded`, or what the service check says; nothing was started
	 */
	enter(bytes: number): () => void;
	/** Requests inside now. */
	readonly open: number;
}

const MAXIMUM_OPEN_REQUESTS = 2_000;
const MAXIMUM_HELD_BYTES = 64 * 1_048_576;

/** Creates an admission check. */
export function createAdmission(check: ServiceCheck, counters: Counters): Admission {
	let open = 0;
	let heldBytes = 0;

	const refuse = (kind: ErrorKind, reason: string): never => {
		counters.add('requests_refused_total', { kind });
		throw kindError(kind, reason);
	};

	return {
		enter: bytes => {
			const refusal = check();
			if (refusal !== undefined) {
				refuse(refusal.kind, refusal.reason);
			}
			if (open >= MAXIMUM_OPEN_REQUESTS) {
				refuse('overloaded', `this daemon already holds ${MAXIMUM_OPEN_REQUESTS} requests`);
			}
			if (heldBytes + bytes > MAXIMUM_HELD_BYTES) {
				refuse('overloaded', `this daemon already holds ${heldBytes} bytes of request bodies`);
			}
			open++;
			heldBytes += bytes;
			let isInside = true;
			return () => {
				if (isInside) {
					isInside = false;
					open--;
					heldBytes -= bytes;
				}
			};
		},
		get open() {
			return open;
		},
	};
}
