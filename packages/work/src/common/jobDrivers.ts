import type { MonotonicTime } from '@chestnutwheel/base/common/clock.js';
import { createJobDriver, type JobDriver, type JobDriverOptions } from './jobDriver.js';
import { hasEnded } from './workLedger.js';

/**
 * Jobs of one team that have a driver while they wait for a worker. The others of the team wait in a list of names, so
 * that 50,000 waiting jobs cost nothing at a tick and no team holds up another one.
 */
const MAXIMUM_SEEKING_PER_TEAM = 100;

/** The drivers of all live jobs of a cell under one term. */
export interface JobDrivers {
	/** Begins to drive a live job; nothing happens for one that is driven already or has ended. */
	drive(jobId: string, now: MonotonicTime): void;
	/** Begins to drive every live job in the ledger. */
	driveAll(now: MonotonicTime): void;
	ofJob(jobId: string): JobDriver | undefined;
	ofTask(taskId: string): JobDriver | undefined;
	/** Notes that a task is placed for a job, before its driver hears of it. */
	addTask(taskId: string, jobId: string): void;
	removeTask(taskId: string): void;
	/** Lets every driver do what is due. */
	advance(now: MonotonicTime): void;
	nextTickAt(): MonotonicTime;
}

/** Creates an empty set of drivers. */
export function createJobDrivers(options: Omit<JobDriverOptions, 'jobId' | 'now'>): JobDrivers {
	const { ledger } = options;
	const drivers = new Map<string, JobDriver>();
	const tasks = new Map<string, string>();
	/** Names of jobs without a driver, by team, oldest first. */
	const backlog = new Map<string, Set<string>>();
	let seeking = new Map<string, number>();

	const countOf = (team: string): number => seeking.get(team) ?? 0;

	const drive = (jobId: string, now: MonotonicTime): void => {
		const job = ledger.job(jobId);
		if (drivers.has(jobId) || job === undefined || hasEnded(job.state)) {
			return;
		}
		const { team } = job.request;
		if (job.state === 'waiting') {
			if (countOf(team) >= MAXIMUM_SEEKING_PER_TEAM) {
				const waiting = backlog.get(team) ?? new Set();
				backlog.set(team, waiting.add(jobId));
				return;
			}
			seeking.set(team, countOf(team) + 1);
		}
		const driver = createJobDriver({ ...options, jobId, now });
		drivers.set(jobId, driver);
		if (driver.taskId !== undefined) {
			tasks.set(driver.taskId, jobId);
		}
	};

	const countSeeking = (): void => {
		seeking = new Map();
		for (const { phase, team } of drivers.values()) {
			if (phase === 'waiting' || phase === 'placing') {
				seeking.set(team, countOf(team) + 1);
			}
		}
	};

	const refill = (now: MonotonicTime): void => {
		for (const [team, waiting] of backlog) {
			for (const jobId of waiting) {
				if (countOf(team) >= MAXIMUM_SEEKING_PER_TEAM) {
					break;
				}
				waiting.delete(jobId);
				drive(jobId, now);
			}
			if (waiting.size === 0) {
				backlog.delete(team);
			}
		}
	};

	return {
		drive,
		driveAll: now => {
			for (const job of ledger.jobs()) {
				if (!hasEnded(job.state)) {
					drive(job.request.jobId, now);
				}
			}
		},
		ofJob: jobId => drivers.get(jobId),
		ofTask: taskId => {
			const driver = drivers.get(tasks.get(taskId) ?? '');
			return driver?.taskId === taskId ? driver : undefined;
		},
		addTask: (taskId, jobId) => void tasks.set(taskId, jobId),
		removeTask: taskId => void tasks.delete(taskId),
		advance: now => {
			for (const [jobId, driver] of drivers) {
				driver.advance(now);
				if (driver.phase === 'done') {
					drivers.delete(jobId);
				}
			}
			countSeeking();
			refill(now);
		},
		nextTickAt: () => {
			let earliest = Infinity;
			drivers.forEach(driver => (earliest = Math.min(earliest, driver.nextTickAt())));
			return earliest;
		},
	};
}
