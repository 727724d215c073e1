import { z } from 'zod';
import type { LeaderIdentity } from '../../common/peerProtocol.js';

/** Key of the leader record in the leader topic. */
export const LEADER_KEY = 'leader';

const leaderRecordSchema = z.object({
	entryHost: z.string(),
	/** Incarnation of the daemon; each start of the process has a new one. */
	incarnation: z.string(),
	address: z.string(),
	/** Term, or 0 in the record that begins the term; the term then follows from the offset of the record. */
	term: z.number().int().min(0),
	isResigning: z.boolean(),
});

/** Leader record in the store. */
export type LeaderRecord = z.output<typeof leaderRecordSchema>;

/** Parses a leader record. Returns `undefined` if the value is not valid. */
export function parseLeaderRecord(value: Uint8Array): LeaderRecord | undefined {
	try {
		const parsed = leaderRecordSchema.safeParse(JSON.parse(Buffer.from(value).toString('utf8')));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}

/** Serializes a leader record. */
export function formatLeaderRecord(record: LeaderRecord): Uint8Array {
	return Buffer.from(JSON.stringify(record));
}

/** Returns the leader that a record names. @param offset offset of the record in the leader topic */
export function identityOf(record: LeaderRecord, offset: number): LeaderIdentity {
	const { entryHost, address, term } = record;
	return { entryHost, address, term: term === 0 ? offset + 1 : term };
}
