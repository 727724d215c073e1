import { describe, expect, it } from 'vitest';
import { createArrivalEstimator, type ArrivalEstimator } from '../common/pools/poolDemand.js';
import { harnessJob, harnessStep } from './engineHarness.js';

/** A job of one task that runs for one second on two cores. */
const oneTaskJob = harnessJob(harnessStep({ count: 1 }));
const SECOND_MS = 1_000;

/** Accepts jobs at regular intervals; 50 per second occupy 100 cores. */
function acceptJobs(load: ArrivalEstimator, perSecond: number, from: number, until: number): void {
	for (let at = from; at < until; at += SECOND_MS / perSecond) {
		load.recordJob('desk', oneTaskJob, () => SECOND_MS, SECOND_MS, at);
	}
}

const coresAt = (load: ArrivalEstimator, now: number): number => load.estimate('desk', now).milliCores / 1_000;

describe('estimate of a load that begins abruptly', () => {
	it('reaches more than half of the load after 0.2 s', () => {
		const work = createArrivalEstimator();
		acceptJobs(work, 2, 0, 10_000);
		acceptJobs(work, 50, 10_000, 10_200);
		expect(coresAt(work, 10_200)).toBeGreaterThan(50);
	});

	it('does not exceed a steady load by much', () => {
		const work = createArrivalEstimator();
		acceptJobs(work, 50, 0, 5_000);
		expect(coresAt(work, 5_000)).toBeGreaterThan(90);
		expect(coresAt(work, 5_000)).toBeLessThan(115);
	});

	it('is bounded for a single large job', () => {
		const work = createArrivalEstimator();
		const wide = harnessJob(harnessStep({ count: 40 }));
		work.recordJob('desk', wide, () => SECOND_MS, SECOND_MS, 0);
		// 80 core-seconds over a window of 0.5 s.
		expect(coresAt(work, 1)).toBeLessThan(161);
	});

	it('decays when no more jobs arrive', () => {
		const work = createArrivalEstimator();
		acceptJobs(work, 50, 0, 1_000);
		expect(coresAt(work, 3_500)).toBeLessThan(2);
	});
});
