import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { NoteDecision } from '@chestnutwheel/engine/common/engineMessages.js';
import { destination, pino } from 'pino';

/** Lines are written in blocks of this many bytes, or when they are flushed. */
const BUFFER_BYTES = 4_096;

/** A buffered line is written after this time at the latest. */
const FLUSH_DELAY_MS = 200;
const SECOND_MS = 1_000;

/** Structured lines on standard output, one for each decision. */
export interface DecisionLog {
	readonly logDecision: NoteDecision;
	/** Writes what is still buffered; for the end of the process. */
	flush(): void;
}

/** Options of {@link createDecisionLog}. */
export interface DecisionLogOptions {
	readonly entryHost: string;
	/** Lines beyond this in one second are left out and counted. */
	readonly linesPerSecond: number;
	readonly counters: Counters;
}

/** Creates a log. It never waits for its reader. */
export function createDecisionLog({ entryHost, linesPerSecond, counters }: DecisionLogOptions): DecisionLog {
	const stream = destination({ dest: 1, sync: false, minLength: BUFFER_BYTES });
	const logger = pino({ base: { entryHost } }, stream);
	let second = 0;
	let lines = 0;
	let droppedLines = 0;
	let timer: NodeJS.Timeout | undefined;
	const scheduleFlush = (): void => {
		timer ??= setTimeout(() => {
			timer = undefined;
			stream.flush();
		}, FLUSH_DELAY_MS);
	};

	return {
		logDecision: (decision, fields) => {
			const now = Math.floor(performance.now() / SECOND_MS);
			if (now !== second) {
				if (droppedLines > 0) {
					logger.info({ decision: 'log-lines-left-out', lines: droppedLines });
				}
				second = now;
				lines = 0;
				droppedLines = 0;
			}
			lines++;
			if (lines > linesPerSecond) {
				droppedLines++;
				counters.add('log_lines_left_out_total');
				return;
			}
			logger.info({ decision, ...fields });
			scheduleFlush();
		},
		flush: () => stream.flushSync(),
	};
}
