import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import { parseSnapshot, serializeSnapshot } from '@chestnutwheel/configuration/common/snapshot.js';
import type { LogClient } from '@chestnutwheel/platform/common/logProtocol.js';
import { SNAPSHOT_STREAM } from './controlReader.js';
import type { ControlState } from './controlState.js';

/** What the writer needs. */
export interface SnapshotWriterOptions {
	readonly log: LogClient;
	readonly state: ControlState;
	readonly clock: Clock;
	readonly counters: Counters;
	/** Time for which the log keeps a record. */
	readonly retentionMs: number;
	/** Whether this daemon is the one that writes when a snapshot is due; others write when it is overdue. */
	readonly isWriter: () => boolean;
}

const CHECK_EVERY_MS = 1_000;
const RECORDS_BETWEEN_SNAPSHOTS = 500;
/** A snapshot is written again when half the retention has passed. */
const RENEW_FRACTION = 0.5;
/** Daemons other than the writer wait for half as much again. */
const OVERDUE_FACTOR = 1.5;

/** Keeps a snapshot of the accepted state in the log until the signal is aborted. */
export async function runSnapshotWriter(options: SnapshotWriterOptions, signal: AbortSignal): Promise<void> {
	const { log, state, clock, counters } = options;
	let coveredOffset = -1;
	let coveredAt = clock.now();

	/** Takes into account what another daemon has written meanwhile. */
	const readNewest = async (): Promise<void> => {
		const answer = await log.read(SNAPSHOT_STREAM, -1, { limit: 1, signal });
		const covered = parseSnapshot(answer.records[0]?.value ?? '')?.offset ?? -1;
		if (covered > coveredOffset) {
			coveredOffset = covered;
			coveredAt = clock.now();
		}
	};

	const isDue = (): boolean => {
		const factor = options.isWriter() ? 1 : OVERDUE_FACTOR;
		const records = state.current().offset - coveredOffset;
		const isOld = clock.now() - coveredAt >= options.retentionMs * RENEW_FRACTION * factor;
		return records >= RECORDS_BETWEEN_SNAPSHOTS * factor || (isOld && state.current().offset >= 0);
	};

	const write = async (): Promise<void> => {
		await readNewest();
		if (!isDue()) {
			return;
		}
		const snapshot = state.current();
		await log.append(SNAPSHOT_STREAM, serializeSnapshot(snapshot), signal);
		coveredOffset = snapshot.offset;
		coveredAt = clock.now();
		counters.add('control_snapshots_written_total');
	};

	while (!signal.aborted) {
		await delay(CHECK_EVERY_MS, signal);
		if (isDue()) {
			await write().catch(() => counters.add('control_snapshots_failed_total'));
		}
	}
}
