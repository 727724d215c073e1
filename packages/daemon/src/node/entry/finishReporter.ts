import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { FinishedAttempt } from '../../common/peerProtocol.js';
import type { CellCalls } from '../peers/cellCalls.js';

/** Reports ended attempts to the leader of their cell until it has acknowledged them. */
export interface FinishReporter {
	report(cell: string, attempt: FinishedAttempt): void;
	/** Resolves when nothing is left to report or the deadline has passed. */
	drained(deadline: number): Promise<void>;
}

/** Reports kept at once; beyond it the oldest is dropped, and the leader learns the end from the worker. */
const MAXIMUM_REPORTS = 10_000;
const REPORTS_PER_CALL = 500;
const RETRY_DELAY_MS = 100;
/** A report older than this is dropped: the leader has learnt the end from the worker by then. */
const KEEP_MS = 60_000;

interface PendingReport {
	readonly attempt: FinishedAttempt;
	readonly dropAt: number;
}

/** Creates a reporter; its loops end when the signal is aborted. */
export function createFinishReporter(
	calls: CellCalls,
	clock: Clock,
	counters: Counters,
	signal: AbortSignal,
): FinishReporter {
	const pending = new Map<string, Map<string, PendingReport>>();
	const sending = new Set<string>();

	const pendingOf = (cell: string): Map<string, PendingReport> => {
		const known = pending.get(cell) ?? new Map<string, PendingReport>();
		pending.set(cell, known);
		return known;
	};

	const sendBatch = async (cell: string, reports: Map<string, PendingReport>): Promise<void> => {
		const now = clock.now();
		for (const [grantId, report] of reports) {
			if (report.dropAt <= now) {
				reports.delete(grantId);
				counters.add('finish_reports_dropped_total', { reason: 'too-old' });
			}
		}
		const attempts = [...reports.values()].slice(0, REPORTS_PER_CALL).map(report => report.attempt);
		if (attempts.length === 0) {
			return;
		}
		const answer = await calls.toLeader(cell, 'work.finish', { cell, attempts });
		for (const grantId of answer.acknowledged) {
			reports.delete(grantId);
		}
		if (answer.acknowledged.length === 0) {
			await delay(RETRY_DELAY_MS, signal);
		}
	};

	const sendAll = async (cell: string): Promise<void> => {
		if (sending.has(cell)) {
			return;
		}
		sending.add(cell);
		const reports = pendingOf(cell);
		while (reports.size > 0 && !signal.aborted) {
			try {
				await sendBatch(cell, reports);
			} catch {
				counters.add('finish_reports_retried_total');
				await delay(RETRY_DELAY_MS, signal);
			}
		}
		sending.delete(cell);
	};

	return {
		report: (cell, attempt) => {
			const reports = pendingOf(cell);
			if (reports.size >= MAXIMUM_REPORTS) {
				const oldest = reports.keys().next().value;
				if (oldest !== undefined) {
					reports.delete(oldest);
					counters.add('finish_reports_dropped_total', { reason: 'full' });
				}
			}
			reports.set(attempt.grantId, { attempt, dropAt: clock.now() + KEEP_MS });
			void sendAll(cell);
		},
		drained: async deadline => {
			const isEmpty = (): boolean => [...pending.values()].every(reports => reports.size === 0);
			while (!isEmpty() && clock.now() < deadline && !signal.aborted) {
				await delay(RETRY_DELAY_MS, signal);
			}
		},
	};
}
