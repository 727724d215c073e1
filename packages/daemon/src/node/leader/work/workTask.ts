import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { ErrorKind } from '@chestnutwheel/base/common/errorKinds.js';
import type { JobStatus } from '@chestnutwheel/configuration/common/operatorProtocol.js';
import type { FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import type { Grant } from '@chestnutwheel/dispatch/common/dispatchMessages.js';
import type { HeldLease } from '@chestnutwheel/membership/common/leaseHolder.js';
import type { LogClient } from '@chestnutwheel/platform/common/logProtocol.js';
import type { WorkerClient } from '@chestnutwheel/platform/common/workerClient.js';
import type { WorkerStatus } from '@chestnutwheel/platform/common/workerProtocol.js';
import { createJobController } from '@chestnutwheel/work/common/jobController.js';
import { createWorkLedger, type LedgerJob } from '@chestnutwheel/work/common/workLedger.js';
import type { JobEffect, JobMessage, SharedMessage } from '@chestnutwheel/work/common/workMessages.js';
import type { JobRequest } from '@chestnutwheel/work/common/workRecord.js';
import type { FinishedAttempt, JobResponse, JobView } from '../../../common/peerProtocol.js';
import type { DispatchTask } from '../dispatchTask.js';
import { createJobTasks } from './jobTasks.js';
import { createPendingAnswers } from './pendingAnswers.js';
import { createStartRecords, type StartRecords } from './startRecords.js';
import { createWorkStream } from './workStream.js';

/** Owns the work stream of one cell: request keys and long jobs. */
export interface WorkTask {
	leading(lease: HeldLease): void;
	notLeading(): void;
	/** Starts of requests that may not be repeated. */
	readonly starts: StartRecords;
	requestEnded(attempt: FinishedAttempt): void;
	submit(job: JobRequest, deadline: number): Promise<JobResponse>;
	get(team: string, jobId: string): JobResponse;
	cancel(team: string, jobId: string): Promise<JobResponse>;
	jobs(): readonly JobStatus[];
	workerAnswered(host: string, status: WorkerStatus): void;
	/** The scheduler wants the slot of a job. */
	checkpoint(grantId: string): void;
}

/** What the task needs. */
export interface WorkTaskOptions {
	readonly cell: string;
	readonly self: string;
	readonly log: LogClient;
	readonly retentionMs: number;
	readonly workers: WorkerClient;
	readonly state: () => FleetState;
	readonly lease: () => HeldLease | undefined;
	readonly dispatch: DispatchTask;
	readonly clock: Clock;
	readonly counters: Counters;
	readonly explain: (subject: string, reason: string, details: Readonly<Record<string, string | number>>) => void;
}

type JobResult = 'accepted' | 'cancelled' | { readonly kind: ErrorKind; readonly reason: string };

/** Jobs shown to operators at once. */
const MAXIMUM_SHOWN_JOBS = 1_000;
const CANCEL_WITHIN_MS = 6_000;
const requestOutcomes = { succeeded: 'ran', failed: 'ran', 'not-started': 'not-run', unknown: 'unknown' } as const;
const lateAnswer = { kind: 'append-unknown', reason: 'the record was not read back in time' } as const;
const notOpen: JobResponse = {
	ok: false,
	kind: 'no-leader',
	reason: 'the work stream has not been read to its end yet',
};

/** Creates the task; its loops end when the signal is aborted. */
export function createWorkTask(options: WorkTaskOptions, signal: AbortSignal): WorkTask {
	const { cell, clock, dispatch, lease, state } = options;
	const ledger = createWorkLedger({ cell });
	const controller = createJobController({
		ledger,
		leader: options.self,
		retentionMs: options.retentionMs,
		rackOf: host => state().hosts[host]?.rack ?? '',
	});
	const pending = createPendingAnswers<JobResult>();
	const grants = new Map<string, Grant>();
	const placements = new Map<string, string>();
	let placementCount = 0;
	let timer: NodeJS.Timeout | undefined;

	const stream = createWorkStream({ ...options, ledger, onFolded: () => sendBoth({ type: 'ledger-folded' }) });
	const starts = createStartRecords({ ...options, ledger, stream }, signal);
	const tasks = createJobTasks({
		cell,
		workers: options.workers,
		addressOf: host => state().hosts[host]?.address,
		tell: message => send(message),
	});

	const place = ({ job, avoidHosts }: Extract<JobEffect, { type: 'place-job' }>): void => {
		const requestId = `${job.jobId}.${lease()?.term ?? 0}.${placementCount++}`;
		placements.set(job.jobId, requestId);
		dispatch.place(
			{
				requestId,
				entryHost: options.self,
				cell,
				team: job.team,
				keyId: job.keyId,
				queue: job.queue,
				class: 'research',
				deadline: Infinity,
				avoidHosts,
				kind: 'job',
			},
			response => {
				placements.delete(job.jobId);
				if (response.state === 'granted') {
					const { grant } = response;
					grants.set(grant.grantId, grant);
					const placement = { taskId: grant.grantId, host: grant.host, rack: grant.rack };
					options.explain(`job/${job.jobId}`, 'placed', placement);
					send({ type: 'job-placed', jobId: job.jobId, placement });
				} else if (response.state === 'refused') {
					options.explain(`job/${job.jobId}`, `placement refused: ${response.kind}`, { reason: response.reason });
					send({ type: 'placement-refused', jobId: job.jobId, reason: response.reason });
				}
			},
		);
	};

	const append = async (appendId: string, value: string): Promise<void> => {
		const result = await stream.append(value);
		send({ type: 'append-ended', appendId, result });
	};

	const effectHandlers: {
		readonly [Type in JobEffect['type']]: (effect: Extract<JobEffect, { type: Type }>) => void;
	} = {
		append: ({ appendId, value }) => void append(appendId, value),
		'append-snapshot': ({ value }) => void stream.appendSnapshot(value),
		'submit-answered': ({ jobId, result }) => pending.answer(`submit/${jobId}`, result),
		'cancel-answered': ({ jobId, result }) => pending.answer(`cancel/${jobId}`, result),
		'place-job': place,
		'withdraw-placement': ({ jobId }) => {
			dispatch.cancel(placements.get(jobId) ?? '');
			placements.delete(jobId);
		},
		'end-placement': ({ taskId, outcome }) => {
			grants.delete(taskId);
			// A stopped job says nothing about the health of its worker, and its slot is free.
			dispatch.finished(taskId, outcome === 'stopped' ? 'not-started' : outcome);
		},
		'start-task': effect => void tasks.start(effect, grants.get(effect.taskId)),
		'renew-task': effect => void tasks.renew(effect, lease()?.term ?? 0),
		'stop-task': effect => void tasks.stop(effect),
		'delete-task': effect => void tasks.delete(effect),
	};

	const schedule = (): void => {
		clearTimeout(timer);
		const at = controller.nextTickAt();
		if (at !== undefined && at !== Infinity && !signal.aborted) {
			timer = setTimeout(() => send({ type: 'tick' }), Math.max(1, Math.ceil(at - clock.now())));
		}
	};

	const send = (message: JobMessage): void => {
		if (signal.aborted) {
			return;
		}
		for (const effect of controller.handle(message, clock.now())) {
			(effectHandlers[effect.type] as (effect: JobEffect) => void)(effect);
		}
		schedule();
	};

	const sendBoth = (message: SharedMessage): void => {
		starts.send(message);
		send(message);
	};

	const viewOf = (job: LedgerJob): JobView => ({
		jobId: job.request.jobId,
		team: job.request.team,
		queue: job.request.queue,
		state: job.state,
		reason: job.reason,
		result: job.result,
	});

	const statusOf = ({ request, state: jobState, attempts, host, reason }: LedgerJob): JobStatus => ({
		id: request.jobId,
		cell,
		team: request.team,
		queue: request.queue,
		state: jobState,
		attempts: attempts.length,
		host,
		reason,
	});

	/** A job of another team is answered like one that does not exist. */
	const find = (team: string, jobId: string): JobResponse => {
		if (lease() === undefined || !controller.isOpen) {
			return notOpen;
		}
		const job = ledger.job(jobId);
		return job?.request.team === team
			? { ok: true, job: viewOf(job) }
			: { ok: false, kind: 'unknown-job', reason: `there is no job ${jobId} of this team` };
	};

	const jobAfter = (team: string, jobId: string, result: JobResult): JobResponse =>
		typeof result === 'string' ? find(team, jobId) : { ok: false, ...result };

	signal.addEventListener('abort', () => clearTimeout(timer));
	void stream.follow(() => lease() !== undefined, signal);

	return {
		starts,
		leading: held => sendBoth({ type: 'lease-held', term: held.term, until: held.until }),
		notLeading: () => {
			grants.clear();
			placements.clear();
			sendBoth({ type: 'lease-lost' });
		},
		requestEnded: attempt => {
			if (attempt.onlyOnce !== undefined) {
				starts.ended(attempt.onlyOnce, requestOutcomes[attempt.outcome]);
			}
		},
		submit: async (job, deadline) => {
			const answer = pending.wait(`submit/${job.jobId}`, deadline - clock.now(), lateAnswer);
			send({ type: 'submit-job', job });
			return jobAfter(job.team, job.jobId, await answer);
		},
		get: find,
		cancel: async (team, jobId) => {
			const found = find(team, jobId);
			if (!found.ok) {
				return found;
			}
			const answer = pending.wait(`cancel/${jobId}`, CANCEL_WITHIN_MS, lateAnswer);
			send({ type: 'cancel-job', jobId });
			return jobAfter(team, jobId, await answer);
		},
		jobs: () => [...ledger.jobs()].slice(-MAXIMUM_SHOWN_JOBS).map(statusOf),
		workerAnswered: (host, status) => {
			const taskIds = status.running.filter(task => task.kind === 'job').map(task => task.taskId);
			send({ type: 'worker-tasks', host, taskIds });
		},
		checkpoint: grantId => send({ type: 'preempt-task', taskId: grantId }),
	};
}
