/** One measured point. */
export interface CapacityPoint {
	readonly size: number;
	readonly value: number;
}

/** A straight line through measured points. */
export interface CapacityFit {
	readonly slope: number;
	readonly intercept: number;
	/** Standard error of the slope; infinite with fewer than three sizes. */
	readonly slopeError: number;
}

/** Fits a line by least squares. */
export function fitLine(points: readonly CapacityPoint[]): CapacityFit {
	const count = points.length;
	const mean = (pick: (point: CapacityPoint) => number): number =>
		points.reduce((sum, point) => sum + pick(point), 0) / count;
	const meanSize = mean(({ size }) => size);
	const meanValue = mean(({ value }) => value);
	const spread = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0);
	const slope = points.reduce((sum, { size, value }) => sum + (size - meanSize) * (value - meanValue), 0) / spread;
	const intercept = meanValue - slope * meanSize;
	const residual = points.reduce((sum, { size, value }) => sum + (value - intercept - slope * size) ** 2, 0);
	const slopeError = count > 2 ? Math.sqrt(residual / (count - 2) / spread) : Number.POSITIVE_INFINITY;
	return { slope, intercept, slopeError };
}
