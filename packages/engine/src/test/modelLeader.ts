import type { Engine } from '../common/engine.js';
import type { EngineEffect } from '../common/engineMessages.js';

/** One leader of the model, in office or not. */
export interface ModelLeader {
	readonly engine: Engine;
	readonly term: number;
	hasStopped: boolean;
	/** When the leader learns by itself that it is over; infinite for the one in office. */
	validUntil: number;
	readonly sessions: Map<string, { isClosed: boolean }>;
	lastAppendedBatch: number;
	lastStoredBatch: number;
	readonly pendingEffects: { batch: number; effects: readonly EngineEffect[] }[];
}
