import type { LogService } from '@chestnutwheel/ports/common/logService.js';
import { z } from 'zod';

const memberSchema = z.object({ address: z.string(), incarnation: z.string() });

/** Maximum number of members. The members with the oldest records are ignored beyond it. */
const MAXIMUM_MEMBERS = 256;

/** Addresses of all daemons, which each daemon registers in the store when it starts. */
export interface MemberList {
	/** Registers the address of this daemon. @returns whether the store confirmed it */
	register(signal: AbortSignal): Promise<boolean>;
	/** Removes this daemon from the list before it stops. */
	deregister(signal: AbortSignal): Promise<void>;
	/**
	 * Reads the list from the store. This daemon is registered again if it is missing there: the record with which its former
	 * process left the list may be stored late.
	 * @returns whether the read succeeded
	 */
	refresh(signal: AbortSignal): Promise<boolean>;
	/** Returns the addresses of the other daemons as of the last refresh. */
	otherAddresses(): readonly string[];
}

/** Creates a member list, which is empty until the first refresh. */
export function createMemberList(
	log: LogService,
	self: { readonly entryHost: string; readonly address: string; readonly incarnation: string },
): MemberList {
	let otherAddresses: readonly string[] = [];
	let isMember = false;

	const write = async (value: Uint8Array | undefined, signal: AbortSignal): Promise<boolean> => {
		const outcome = await log.append('members', [log.keyedRecord(self.entryHost, value)], {}, signal);
		return outcome.type === 'appended';
	};

	const register = (signal: AbortSignal): Promise<boolean> => {
		isMember = true;
		return write(Buffer.from(JSON.stringify({ address: self.address, incarnation: self.incarnation })), signal);
	};

	return {
		register,
		deregister: async signal => {
			isMember = false;
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
			if (isMember && !outcome.records.some(({ key, value }) => key === self.entryHost && value !== undefined)) {
				// A candidate does not wait for it.
				void register(signal);
			}
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
