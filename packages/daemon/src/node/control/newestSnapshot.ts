import type { LogClient } from '@chestnutwheel/platform/common/logProtocol.js';

/** Snapshots tried from the newest backwards when the newest is damaged. */
const SNAPSHOTS_TRIED = 8;

/**
 * Offers the snapshots of a stream, the newest first, until one is taken.
 * @param take returns false for a snapshot that is damaged or of no use
 * @returns how many were not taken before one was, or before there were no more
 */
export async function takeNewestSnapshot(
	log: LogClient,
	stream: string,
	take: (text: string) => boolean,
	signal: AbortSignal,
): Promise<number> {
	const last = await log.read(stream, -1, { limit: 1, signal });
	for (let tried = 0; tried < SNAPSHOTS_TRIED; tried++) {
		const offset = last.endOffset - 1 - tried;
		if (offset < last.firstOffset) {
			return tried;
		}
		const answer = tried === 0 ? last : await log.read(stream, offset, { limit: 1, signal });
		if (take(answer.records[0]?.value ?? '')) {
			return tried;
		}
	}
	return SNAPSHOTS_TRIED;
}
