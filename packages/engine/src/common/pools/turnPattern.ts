/** Number of begun peaks that are remembered over all pools. */
const MAXIMUM_BEGINS = 32;

/** Number of newest distances between peaks that are compared. */
const COMPARED_DISTANCES = 8;

/** Number of matching distances without which no period is known. */
const REQUIRED_EVIDENCE = 2;

/** Largest number of matching distances demanded in addition after forecasts that went wrong. */
const MAXIMUM_ADDED_EVIDENCE = 4;

/** The begin of a peak of a pool. */
export interface TurnBegin {
	readonly pool: string;
	readonly at: number;
}

/** Accuracy of a distance, as a multiple of that of a begin: the errors of two begins add as squares. */
const DISTANCE_TOLERANCES = Math.SQRT2;

/** Peaks whose distance is no more than this many times the tolerance cannot be told from peaks that begin together. */
const DISTINCT_TOLERANCES = 2;

/** Number of even steps after which the one pool that has had no peak in the first round is expected to be next. */
const STEPS_BEFORE_LAST_POOL = 2;

/**
 * The period that the peaks of all pools have in common. It is known once two distances between a pool's peaks match, or
 * once all pools have had a peak in turn, four or more at even distances. Each forecast that goes wrong demands one more match.
 */
export interface TurnPattern {
	/** Period in milliseconds; `undefined` while there is too little evidence for one. */
	readonly periodMs: number | undefined;
	/** Number of matching distances. */
	readonly evidence: number;
	/**
	 * Adds the begin of a peak.
	 * @param toleranceMs how exactly a begin is known, in milliseconds
	 */
	add(begin: TurnBegin, pools: readonly string[], toleranceMs: number): void;
	lastBegin(pool: string): number | undefined;
	/** The first peak of the one pool that has had none, if the others had theirs at even distances. */
	readonly lastOfRound: TurnBegin | undefined;
	/** Notes that a forecast came true, or that the peak of a pool did not come. */
	judge(isRight: boolean, pool: string): void;
}

/** Creates a pattern without peaks. */
export function createTurnPattern(): TurnPattern {
	let begins: TurnBegin[] = [];
	let periodMs: number | undefined;
	let evidence = 0;
	let addedEvidence = 0;
	let lastOfRound: TurnBegin | undefined;

	const distances = (): readonly number[] => {
		const last = new Map<string, number>();
		const found: number[] = [];
		for (const { pool, at } of begins) {
			const previous = last.get(pool);
			if (previous !== undefined) {
				found.push(at - previous);
			}
			last.set(pool, at);
		}
		return found.slice(-COMPARED_DISTANCES);
	};

	/** Returns the distance of the newest peak from the one before in its pool; `undefined` if that had none. */
	const ownDistance = (): number | undefined => {
		const newest = begins.at(-1);
		const before = begins.slice(0, -1).findLast(({ pool }) => pool === newest?.pool);
		return newest === undefined || before === undefined ? undefined : newest.at - before.at;
	};

	/** Returns the mean distance of the newest peaks if each of as many pools had one, at even distances. */
	const evenStep = (poolCount: number, toleranceMs: number): number | undefined => {
		const round = begins.slice(-poolCount);
		if (poolCount < 2 || new Set(round.map(({ pool }) => pool)).size < poolCount) {
			return undefined;
		}
		const steps = round.slice(1).map(({ at }, index) => at - (round[index]?.at ?? at));
		const mean = steps.reduce((sum, step) => sum + step, 0) / steps.length;
		const isEven = steps.every(step => Math.abs(step - mean) <= DISTANCE_TOLERANCES * toleranceMs);
		return isEven && mean > DISTINCT_TOLERANCES * toleranceMs ? mean : undefined;
	};

	/** Returns the first peak of the only pool that has had none; `undefined` if that is not known. */
	const findLastOfRound = (pools: readonly string[], toleranceMs: number): TurnBegin | undefined => {
		const [missing, ...others] = pools.filter(pool => !begins.some(begin => begin.pool === pool));
		const stepMs = evenStep(pools.length - 1, toleranceMs);
		const newest = begins.at(-1);
		const hasEnough = pools.length - 2 >= STEPS_BEFORE_LAST_POOL + addedEvidence && begins.length === pools.length - 1;
		return missing === undefined || others.length > 0 || stepMs === undefined || newest === undefined || !hasEnough
			? undefined
			: { pool: missing, at: newest.at + stepMs };
	};

	const update = (pools: readonly string[], toleranceMs: number): void => {
		const found = distances();
		const newest = found.at(-1);
		lastOfRound = findLastOfRound(pools, toleranceMs);
		const own = ownDistance();
		if (periodMs !== undefined && (own === undefined || Math.abs(own - periodMs) <= 2 * toleranceMs)) {
			// The period is confirmed, and each distance improves it.
			evidence = Math.min(COMPARED_DISTANCES, evidence + (own === undefined ? 0 : 1));
			periodMs += ((own ?? periodMs) - periodMs) / evidence;
			return;
		}
		const stepMs = evenStep(pools.length, toleranceMs);
		const roundMs = (stepMs ?? 0) * pools.length;
		const roundEvidence = stepMs === undefined ? 0 : Math.max(0, pools.length - 2);
		const isDistinct = newest === undefined || newest > DISTINCT_TOLERANCES * toleranceMs;
		const matching = found.filter(
			distance => newest !== undefined && Math.abs(distance - newest) <= DISTANCE_TOLERANCES * toleranceMs,
		);
		evidence = newest === undefined ? roundEvidence : matching.length;
		const candidate =
			newest === undefined ? roundMs : matching.reduce((sum, distance) => sum + distance, 0) / matching.length;
		if (newest !== undefined && Math.abs(roundMs - newest) <= DISTANCE_TOLERANCES * toleranceMs) {
			evidence += roundEvidence;
		}
		periodMs = isDistinct && evidence >= REQUIRED_EVIDENCE + addedEvidence ? candidate : undefined;
	};

	return {
		get periodMs() {
			return periodMs;
		},
		get lastOfRound() {
			return lastOfRound;
		},
		get evidence() {
			return evidence;
		},
		add: (begin, pools, toleranceMs) => {
			begins = [...begins, begin].slice(-MAXIMUM_BEGINS);
			update(pools, toleranceMs);
		},
		lastBegin: pool => begins.findLast(begin => begin.pool === pool)?.at,
		judge: (isRight, pool) => {
			addedEvidence = Math.max(0, Math.min(MAXIMUM_ADDED_EVIDENCE, addedEvidence + (isRight ? -1 : 1)));
			if (!isRight) {
				evidence = Math.max(0, evidence - 1);
				begins = begins.filter(begin => begin.pool !== pool);
				lastOfRound = undefined;
				periodMs = evidence >= REQUIRED_EVIDENCE + addedEvidence ? periodMs : undefined;
			}
		},
	};
}
