import { describe, expect, it } from 'vitest';
import type { AppendOutcome, LogService } from '@chestnutwheel/ports/common/logService.js';
import {
	decodeNewestOutcome,
	decodeReadOutcome,
	encodeNewestOutcome,
	encodeReadOutcome,
} from '../common/relayCodec.js';
import { createRelayedLog } from '../node/relay/relayedLog.js';
import type { RelayMethod, StoreRelay } from '../node/relay/storeRelay.js';

const refused: AppendOutcome = { type: 'refused', reason: 'busy' };
const unknown: AppendOutcome = { type: 'unknown', reason: 'reset' };
const appended: AppendOutcome = { type: 'appended', offset: 4, end: 5 };
const writer = { name: 'leader', epoch: 3, sequence: 1 };

/** Creates a log whose direct appends have one outcome and whose relayed appends another. */
function createLog(direct: AppendOutcome, relayed: AppendOutcome | 'unreachable' | 'no-relay') {
	const calls: RelayMethod[] = [];
	let isDirect = true;
	const relay = {
		get isDirect() {
			return isDirect;
		},
		directCallFailed: () => {
			isDirect = false;
		},
		call: (method: RelayMethod) => {
			calls.push(method);
			return Promise.resolve(
				typeof relayed === 'string' ? { type: relayed } : { type: 'answered', result: { outcome: relayed } },
			);
		},
		relayServed: () => undefined,
	} as unknown as StoreRelay;
	const log = createRelayedLog({ append: () => Promise.resolve(direct) } as unknown as LogService, relay);
	const append = (conditions: Parameters<LogService['append']>[2]): Promise<AppendOutcome> =>
		log.append('journal', [new Uint8Array([1])], conditions, new AbortController().signal);
	return { append, calls };
}

describe('an append of a leader that the store turns away', () => {
	it('is relayed after a refusal, and after an unknown outcome if it carries a sequence number', async () => {
		expect(await createLog(refused, appended).append({ at: 4 })).toEqual(appended);
		expect(await createLog(unknown, appended).append({ writer })).toEqual(appended);
	});

	it('is not repeated by another path if a repeat could be stored twice', async () => {
		const { append, calls } = createLog(unknown, appended);
		expect(await append({ at: 4 })).toEqual(unknown);
		expect(await createLog(unknown, appended).append({})).toEqual(unknown);
		expect(calls).toEqual([]);
	});

	it('remains unknown if either attempt may have been stored', async () => {
		expect(await createLog(unknown, refused).append({ writer })).toEqual(unknown);
		expect((await createLog(refused, 'unreachable').append({ writer })).type).toBe('unknown');
		expect((await createLog(unknown, 'no-relay').append({ writer })).type).toBe('unknown');
		expect((await createLog(refused, 'no-relay').append({ writer })).type).toBe('refused');
	});

	it('goes to the follower first while direct calls fail', async () => {
		const { append, calls } = createLog(refused, appended);
		await append({ writer });
		await append({ writer });
		expect(calls).toEqual(['store.append', 'store.append']);
	});
});

describe('outcomes in peer messages', () => {
	const overTheWire = <Value>(value: Value): Value => JSON.parse(JSON.stringify(value)) as Value;

	it('keep records, tombstones and failures', () => {
		const bytes = Buffer.from([0, 255, 10, 13]);
		const read = { type: 'records', first: 1, end: 3, records: [bytes, Buffer.alloc(0)] } as const;
		expect(decodeReadOutcome(overTheWire(encodeReadOutcome(read)))).toEqual(read);
		const newest = {
			type: 'newest',
			end: 9,
			records: [
				{ key: 'a', offset: 1, value: bytes },
				{ key: 'b', offset: 2, value: undefined },
			],
		} as const;
		expect(decodeNewestOutcome(overTheWire(encodeNewestOutcome(newest)))).toEqual(newest);
		const failed = { type: 'failed', reason: 'busy' } as const;
		expect(decodeReadOutcome(overTheWire(encodeReadOutcome(failed)))).toEqual(failed);
	});
});
