/** What each team held and should hold at one time. */
export interface ShareSample {
	readonly at: number;
	/** All slots were taken and something waited. */
	readonly full: boolean;
	/** Slots by team under the fair ideal; empty unless `full`. */
	readonly ideal: ReadonlyMap<string, number>;
	/** Slot-milliseconds held by team since the start. */
	readonly heldMs: ReadonlyMap<string, number>;
	/** Teams with something waiting. */
	readonly backlogged: ReadonlySet<string>;
}

/** Differences from the ideal as fractions of a team's ideal, over all windows and backlogged teams. */
export interface ShareErrors {
	readonly mean: number;
	readonly worst: number;
	readonly worstTeam: string | undefined;
	/** Team windows that count. */
	readonly windows: number;
}

/** A window counts when this much of it was full. */
const FULL_SAMPLES = 0.95;
/** Time at the start in which queues fill. */
const WARM_UP_MS = 10_000;

/** Share errors over windows that begin every half window. */
export function shareErrors(samples: readonly ShareSample[], windowMs: number): ShareErrors {
	const stepMs = (samples[1]?.at ?? 1) - (samples[0]?.at ?? 0);
	const length = Math.round(windowMs / stepMs);
	let total = 0;
	let windows = 0;
	let worst = 0;
	let worstTeam: string | undefined;
	const first = Math.ceil(WARM_UP_MS / stepMs);
	for (let begin = first; begin + length < samples.length; begin += Math.ceil(length / 2)) {
		const window = samples.slice(begin, begin + length + 1);
		const inner = window.slice(1);
		if (inner.filter(sample => sample.full).length < FULL_SAMPLES * length) {
			continue;
		}
		const fullSamples = inner.filter(sample => sample.full);
		for (const team of inner[0]?.backlogged ?? []) {
			if (!inner.every(sample => sample.backlogged.has(team))) {
				continue;
			}
			const held = (window.at(-1)?.heldMs.get(team) ?? 0) - (window[0]?.heldMs.get(team) ?? 0);
			const ideal = fullSamples.reduce((sum, sample) => sum + (sample.ideal.get(team) ?? 0), 0) / fullSamples.length;
			const error = Math.abs(held / (length * stepMs) - ideal) / ideal;
			total += error;
			windows++;
			if (error > worst) {
				worst = error;
				worstTeam = team;
			}
		}
	}
	return { mean: windows === 0 ? 0 : total / windows, worst, worstTeam, windows };
}
