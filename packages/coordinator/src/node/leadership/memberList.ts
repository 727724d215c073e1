import type { LogService } from '@chestnutwheel/ports/common/logService.js';
import { z } from 'zod';

const memberSchema = z.object({ address: z.string(), incarnation: z.string() });

/** Daemons beyond this are left out, the oldest records first. */
const MAXIMUM_MEMBERS = 256;

/** The addresses of all daemons, as they write them into the store when they start. */
export interface MemberList {
	/** Writes this daemon's address. @returns whether the store has it */
	register(signal: AbortSignal): Promise<boolean>;
	/** Takes this daemon out; it stops for good. */
	deregister(signal: AbortSignal): Promise<void>;
	/** Reads the list again. @returns whether it could be read */
	refresh(signal: AbortSignal): Promise<boolean>;
	/** Addresses of the other daemons. */
	otherAddresses(): readonly string[];
}

/** Creates a list without members. */
export function createMemberList(
	log: LogService,
	self: { readonly entryHost: string; readonly address: string; readonly incarnation: string },
): MemberList {
	let otherAddresses: readonly string[] = [];

	const write = async (value: Uint8Array | undefined, signal: AbortSignal): Promise<boolean> => {
		const outcome = await log.append('members', [log.keyedRecord(self.entryHost, value)], {}, signal);
		return outcome.type === 'appended';
	};

	return {
		register: signal =>
			write(Buffer.from(JSON.stringify({ address: self.address, incarnation: self.incarnation })), signal),
		deregister: async signal => {
			await write(undefined, signal);
		},
		refresh: async signal => {
			const outcome = await log.newest('members', signal);
			if (outcome.type !== 'newest') {
				return false;
			}
			otherAddresses = outcome.records
				.toSorted((left, right) => right.offset - left.offset)
				.slice(0, MAXIMUM_MEMBERS)
				.flatMap(({ value }) => (value === undefined ? [] : parseMember(value)))
				.filter(address => address !== self.address);
			return true;
		},
		otherAddresses: () => otherAddresses,
	};
}

function parseMember(value: Uint8Array): readonly string[] {
	try {
		const parsed = memberSchema.safeParse(JSON.parse(Buffer.from(value).toString('utf8')));
		return parsed.success ? [parsed.data.address] : [];
	} catch {
		return [];
	}
}
