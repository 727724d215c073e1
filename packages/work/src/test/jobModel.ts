import { errorResponses } from '@chestnutwheel/base/common/errorKinds.js';
import { createJobController, type JobController } from '../common/jobController.js';
import { createWorkLedger, hasEnded, type WorkLedger } from '../common/workLedger.js';
import type { JobEffect, JobMessage, TaskState } from '../common/workMessages.js';

/** Kinds of steps, with how often a random history takes each. */
export const jobStepWeights = {
	submit: 3,
	cancel: 1,
	deliver: 14,
	read: 6,
	advance: 5,
	elect: 1,
	end: 4,
	preempt: 1,
	restart: 1,
};

/** One step of a history; `choice` picks among what is there, `amount` is a count, a time or a variant. */
export interface JobStep {
	readonly kind: keyof typeof jobStepWeights;
	readonly leader: number;
	readonly choice: number;
	readonly amount: number;
}

/** What the worker side, the callers and a fresh reader of the log counted. */
export interface JobModelResult {
	/** Starts of jobs that may not be repeated, beyond the first and those from a checkpoint of a clean stop. */
	readonly repeated: number;
	/** Accepted jobs that a fresh reader of the log does not find. */
	readonly vanished: number;
	/** Accepted jobs that have not ended long after the faults. */
	readonly unfinished: number;
	/** Submissions refused as "not run" of jobs that a worker started, and wrong results. */
	readonly contradictions: number;
	/** Jobs that always fail and did not end as `job-cannot-run`, unless cancelled. */
	readonly misjudged: number;
	readonly ended: Readonly<Record<string, number>>;
}

interface Leader {
	ledger: WorkLedger;
	controller: JobController;
	generation: number;
}

interface Task {
	readonly jobId: string;
	state: TaskState;
	lapsesAt: number;
	checkpoint: string | undefined;
}

interface OpenCall {
	readonly leader: Leader;
	readonly generation: number;
	readonly effect: JobEffect;
	readonly sentAt: number;
}

const HOSTS = ['h0', 'h1', 'h2', 'h3'];
const rackOf = (host: string): string => (host < 'h2' ? 'rack-a' : 'rack-b');
const RETENTION_MS = 3_600_000;
/** A start is refused by the worker later than this. */
const START_BY_MS = 1_500;

/** Two leaders, a log that loses, delays and fails appends, and workers whose answers get lost. */
export function runJobModel(steps: readonly JobStep[]): JobModelResult {
	const createLeader = (name: string, generation: number): Leader => {
		const ledger = createWorkLedger({ cell: 'desk' });
		const controller = createJobController({ ledger, leader: name, retentionMs: RETENTION_MS, rackOf });
		return { ledger, controller, generation };
	};
	const leaders = [createLeader('a', 0), createLeader('b', 0)];
	const log: string[] = [];
	const late: string[] = [];
	const open: OpenCall[] = [];
	const tasks = new Map<string, Task>();
	const submitted: string[] = [];
	const accepted = new Set<string>();
	const notRun = new Set<string>();
	const startsByJob = new Map<string, number>();
	const cleanCheckpoints = new Set<string>();
	let snapshot: string | undefined;
	let now = 0;
	let term = 0;
	let taskCount = 0;
	let repeated = 0;
	let checkpoints = 0;

	const isRepeatable = (jobId: string): boolean => Number(jobId.slice(4)) % 2 === 0;
	const alwaysFails = (jobId: string): boolean => Number(jobId.slice(4)) % 4 === 2;

	const tell = (leader: Leader, message: JobMessage): void => {
		for (const effect of leader.controller.handle(message, now)) {
			if (effect.type === 'submit-answered') {
				if (effect.result === 'accepted') {
					accepted.add(effect.jobId);
				} else if (errorResponses[effect.result.kind].outcome === 'not-run') {
					notRun.add(effect.jobId);
				}
			} else {
				open.push({ leader, generation: leader.generation, effect, sentAt: now });
			}
		}
	};
	const answer = ({ leader, generation }: OpenCall, message: JobMessage): void => {
		if (leader.generation === generation) {
			tell(leader, message);
		}
	};
	const read = (leader: Leader, count: number): void => {
		for (const value of log.slice(leader.ledger.offset + 1, leader.ledger.offset + 1 + count)) {
			leader.ledger.fold(leader.ledger.offset + 1, value, now);
		}
		tell(leader, { type: 'ledger-folded' });
	};

	const lapseTasks = (): void => {
		for (const task of tasks.values()) {
			if (task.state === 'running' && now >= task.lapsesAt) {
				task.state = 'lease-lapsed';
			}
		}
	};
	const countStart = (jobId: string, checkpoint: string | undefined): void => {
		const starts = (startsByJob.get(jobId) ?? 0) + 1;
		startsByJob.set(jobId, starts);
		if (!isRepeatable(jobId) && starts > 1 && !(checkpoint !== undefined && cleanCheckpoints.delete(checkpoint))) {
			repeated++;
		}
	};
	const statusOf = (taskId: string): JobMessage => {
		const task = tasks.get(taskId);
		return {
			type: 'task-status',
			taskId,
			state: task?.state ?? 'not-known',
			checkpoint: task?.checkpoint,
			result: task?.state === 'finished' ? `result of ${task.jobId}` : undefined,
			error: task?.state === 'failed' ? 'it fails' : undefined,
		};
	};

	type EffectOf<Type extends JobEffect['type']> = Extract<JobEffect, { type: Type }>;
	/** Variant 0 is a lost call, 1 a lost answer, 2 a failure; the others work. */
	const servers: {
		readonly [Type in JobEffect['type']]?: (effect: EffectOf<Type>, call: OpenCall, variant: number) => void;
	} = {
		append: ({ appendId, value }, call, variant) => {
			if (variant === 0) {
				late.push(value);
			} else if (variant !== 2) {
				log.push(value);
			}
			const result = variant < 2 ? 'unknown' : variant === 2 ? 'failed' : 'appended';
			answer(call, { type: 'append-ended', appendId, result });
		},
		'append-snapshot': ({ value }, call, variant) => {
			snapshot = variant === 0 ? snapshot : value;
			answer(call, { type: 'snapshot-ended', result: variant === 0 ? 'failed' : 'appended' });
		},
		'place-job': ({ job, avoidHosts }, call, variant) => {
			if (variant === 0) {
				answer(call, { type: 'placement-refused', jobId: job.jobId, reason: 'no slot' });
				return;
			}
			const free = HOSTS.filter(host => !avoidHosts.includes(host));
			const host = (free.length > 0 ? free : HOSTS)[taskCount % Math.max(1, free.length)] ?? 'h0';
			const placement = { taskId: `task-${taskCount++}`, host, rack: rackOf(host) };
			answer(call, { type: 'job-placed', jobId: job.jobId, placement });
		},
		'start-task': ({ taskId, job, checkpoint, leaseMs }, call, variant) => {
			const inTime = now <= call.sentAt + START_BY_MS && variant !== 2;
			if (inTime && variant !== 0) {
				countStart(job.jobId, checkpoint);
				tasks.set(taskId, { jobId: job.jobId, state: 'running', lapsesAt: now + leaseMs, checkpoint });
			}
			const result = variant < 2 ? 'unknown' : inTime ? 'started' : 'not-started';
			answer(call, { type: 'start-ended', taskId, result });
		},
		'renew-task': ({ taskId, leaseMs }, call, variant) => {
			const task = tasks.get(taskId);
			if (task?.state === 'running' && variant !== 0) {
				task.lapsesAt = now + leaseMs;
			}
			answer(call, variant < 2 ? { type: 'task-unreachable', taskId } : statusOf(taskId));
		},
		'stop-task': ({ taskId, checkpoint }, call, variant) => {
			const task = tasks.get(taskId);
			if (task?.state === 'running' && variant !== 0) {
				task.state = 'stopped';
				task.checkpoint = checkpoint ? `checkpoint-${checkpoints++}` : undefined;
				if (task.checkpoint !== undefined) {
					cleanCheckpoints.add(task.checkpoint);
				}
			}
			answer(call, variant < 2 ? { type: 'task-unreachable', taskId } : statusOf(taskId));
		},
		'delete-task': ({ taskId }, _call, variant) => {
			if (variant !== 0) {
				tasks.delete(taskId);
			}
		},
	};
	const serve = (call: OpenCall, variant: number): void => {
		(servers[call.effect.type] as ((effect: JobEffect, call: OpenCall, variant: number) => void) | undefined)?.(
			call.effect,
			call,
			variant,
		);
	};
	const endTask = (choice: number, fails: boolean): void => {
		const running = [...tasks.values()].filter(task => task.state === 'running');
		const task = running[choice % Math.max(1, running.length)];
		if (task !== undefined) {
			task.state = fails || alwaysFails(task.jobId) ? 'failed' : 'finished';
		}
	};
	const restart = (leader: Leader, choice: number): void => {
		Object.assign(leader, createLeader(leader === leaders[0] ? 'a' : 'b', leader.generation + 1));
		if (choice % 2 === 0 && snapshot !== undefined) {
			leader.ledger.restore(snapshot, now);
		}
	};
	const advance = (milliseconds: number): void => {
		now += milliseconds;
		lapseTasks();
		leaders.forEach(leader => tell(leader, { type: 'tick' }));
	};

	const actions: Readonly<Record<JobStep['kind'], (leader: Leader, step: JobStep) => void>> = {
		submit: leader => {
			const jobId = `job-${submitted.length}`;
			submitted.push(jobId);
			const job = { jobId, team: 't', keyId: 'k', queue: 'q', payload: 'p', repeatable: isRepeatable(jobId) };
			tell(leader, { type: 'submit-job', job });
		},
		cancel: (leader, { choice }) => {
			const jobId = submitted[choice % Math.max(1, submitted.length)];
			if (jobId !== undefined) {
				tell(leader, { type: 'cancel-job', jobId });
			}
		},
		deliver: (_leader, { choice, amount }) => {
			for (let count = amount % 4; count >= 0 && open.length > 0; count--) {
				open.splice(choice % open.length, 1).forEach(call => serve(call, Math.floor(amount / 4) % 12));
			}
			if (amount % 9 === 0) {
				log.push(...late.splice(0, 1));
			}
		},
		read: (leader, { amount }) => read(leader, amount % 8),
		advance: (_leader, { amount }) => advance(amount * 10),
		elect: (leader, { amount }) => tell(leader, { type: 'lease-held', term: ++term, until: now + amount * 200 }),
		end: (_leader, { choice, amount }) => endTask(choice, amount % 4 === 0),
		preempt: (leader, { choice }) => {
			const taskId = [...tasks.keys()][choice % Math.max(1, tasks.size)];
			if (taskId !== undefined) {
				tell(leader, { type: 'preempt-task', taskId });
			}
		},
		restart: (leader, { choice }) => restart(leader, choice),
	};

	const [first] = leaders;
	if (first !== undefined) {
		tell(first, { type: 'lease-held', term: ++term, until: 60_000 });
		open.splice(0).forEach(call => serve(call, 9));
		read(first, 1);
	}
	for (const step of steps) {
		const leader = leaders[step.leader];
		if (leader !== undefined) {
			actions[step.kind](leader, step);
		}
	}

	// The faults end: one leader holds the lease, and every call works.
	log.push(...late.splice(0));
	const [successor] = leaders;
	if (successor !== undefined) {
		restart(successor, 0);
		tell(successor, { type: 'lease-held', term: ++term, until: Infinity });
		for (let round = 0; round < 120; round++) {
			open.splice(0).forEach(call => serve(call, 9));
			leaders.forEach(leader => read(leader, log.length));
			endTask(0, false);
			endTask(0, false);
			advance(500);
		}
	}

	const reader = createWorkLedger({ cell: 'desk' });
	log.forEach((value, offset) => reader.fold(offset, value, now));
	const found = [...accepted].map(jobId => reader.job(jobId)).filter(job => job !== undefined);
	const ended: Record<string, number> = {};
	found.forEach(job => (ended[job.state] = (ended[job.state] ?? 0) + 1));
	const wrong = found.filter(job => job.state === 'finished' && job.result !== `result of ${job.request.jobId}`);
	const cannotRun = found.filter(job => alwaysFails(job.request.jobId) && hasEnded(job.state));
	return {
		repeated,
		vanished: accepted.size - found.length,
		unfinished: found.filter(job => !hasEnded(job.state)).length,
		contradictions: wrong.length + [...notRun].filter(jobId => startsByJob.has(jobId)).length,
		misjudged: cannotRun.filter(job => job.state !== 'cancelled' && job.reason?.startsWith('job-cannot-run') !== true)
			.length,
		ended,
	};
}
