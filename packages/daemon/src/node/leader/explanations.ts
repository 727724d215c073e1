import type { Clock } from '@chestnutwheel/base/common/clock.js';
import { createRingBuffer } from '@chestnutwheel/base/common/ringBuffer.js';
import type { ExplainEntry } from '@chestnutwheel/configuration/common/operatorProtocol.js';

/** Keeps the latest decisions with their reasons. */
export interface Explanations {
	add(subject: string, reason: string, details: Readonly<Record<string, string | number>>): void;
	/** Decisions on a subject such as `host/worker-3` or `request/ID`, oldest first. */
	of(subject: string): readonly ExplainEntry[];
}

/** Decisions kept; the oldest is dropped. */
const KEPT = 10_000;

/** Creates an empty record of decisions. */
export function createExplanations(clock: Clock): Explanations {
	const ring = createRingBuffer<ExplainEntry>(KEPT);
	return {
		add: (subject, reason, details) => ring.push({ at: clock.wallNow(), subject, reason, details }),
		of: subject => ring.items().filter(entry => entry.subject === subject || entry.subject.startsWith(`${subject}.`)),
	};
}
