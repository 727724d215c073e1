import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { DecisionLogger } from '@chestnutwheel/engine/common/engineMessages.js';
import { destination, pino } from 'pino';
import { createLineBudget } from '../common/lineBudget.js';

/** Size of the output buffer, in bytes. Lines are written when it is full or flushed. */
const BUFFER_BYTES = 4_096;

/** Maximum time that a line stays in the buffer. */
const FLUSH_DELAY_MS = 200;

/** Structured log on standard output, with one line for each decision. */
export interface DecisionLog {
	readonly logDecision: DecisionLogger;
	/** Writes the buffered lines synchronously. Intended for the end of the process. */
	flush(): void;
}

/** Options of {@link createDecisionLog}. */
export interface DecisionLogOptions {
	readonly entryHost: string;
	/** Maximum number of lines per second. Further lines are dropped and counted. */
	readonly linesPerSecond: number;
	readonly counters: Counters;
}

/** Creates a decision log. Writing is asynchronous, so that a slow reader of standard output never blocks the daemon. */
export function createDecisionLog({ entryHost, linesPerSecond, counters }: DecisionLogOptions): DecisionLog {
	const stream = destination({ dest: 1, sync: false, minLength: BUFFER_BYTES });
	const logger = pino({ base: { entryHost } }, stream);
	const budget = createLineBudget(linesPerSecond);
	let timer: NodeJS.Timeout | undefined;
	const scheduleFlush = (): void => {
		timer ??= setTimeout(() => {
			timer = undefined;
			stream.flush();
		}, FLUSH_DELAY_MS);
	};

	return {
		logDecision: (decision, fields) => {
			const omitted = budget.beginSecond(performance.now());
			if (omitted > 0) {
				logger.info({ decision: 'log-lines-left-out', lines: omitted });
			}
			if (!budget.admit(decision)) {
				counters.add('log_lines_left_out_total');
				return;
			}
			logger.info({ decision, ...fields });
			scheduleFlush();
		},
		flush: () => stream.flushSync(),
	};
}
