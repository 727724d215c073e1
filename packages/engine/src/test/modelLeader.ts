import type { Engine } from '../common/engine.js';
import type { EngineEffect } from '../common/engineMessages.js';

/** A current or former leader of the fleet model. */
export interface ModelLeader {
	readonly engine: Engine;
	readonly term: number;
	hasStopped: boolean;
	/** Time at which a deposed leader notices that it has lost the lead; infinite for the current leader. */
	validUntil: number;
	readonly sessions: Map<string, { isClosed: boolean }>;
	lastAppendedBatch: number;
	lastStoredBatch: number;
	readonly pendingEffects: { batch: number; effects: readonly EngineEffect[] }[];
}
