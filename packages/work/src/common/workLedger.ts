import type { MonotonicTime } from '@chestnutwheel/base/common/clock.js';
import type { JobRequest, JobState, RequestEnd, RequestStart, WorkRecord } from './workRecord.js';
import { parseWorkRecord } from './workRecordSchema.js';
import { readWorkSnapshot, writeWorkSnapshot } from './workSnapshot.js';

/** What is known of a request key. `started` means that the request may be running. */
export interface RequestKeyEntry {
	readonly team: string;
	readonly requestKey: string;
	readonly requestId: string;
	/** Term under which the start was recorded. */
	readonly term: number;
	readonly state: 'started' | RequestEnd['outcome'];
	readonly forgetAt: MonotonicTime;
}

/** A failed attempt of a job. */
export interface FailedAttempt {
	readonly taskId: string;
	readonly host: string;
	readonly rack: string;
	readonly reason: string;
}

/** A long job as the work stream records it. */
export interface LedgerJob {
	/** The payload is empty once the job has ended. */
	readonly request: JobRequest;
	readonly state: JobState;
	/** The last recorded task, and where it runs or ran. */
	readonly taskId?: string | undefined;
	readonly host?: string | undefined;
	readonly checkpoint?: string | undefined;
	readonly result?: string | undefined;
	readonly reason?: string | undefined;
	readonly attempts: readonly FailedAttempt[];
	/** The last earlier tasks; a delayed copy of their `job-started` must not bring them back. */
	readonly pastTaskIds: readonly string[];
	/** When this daemon folded the end. */
	readonly endedAt?: MonotonicTime | undefined;
	readonly forgetAt?: MonotonicTime | undefined;
}

/** What the fold did with a record. */
export type FoldVerdict = 'folded' | 'behind' | 'stale-term' | 'corrupt' | 'newer-format';

/** Request keys kept at once; the recorder refuses more as `overloaded`. */
export const MAXIMUM_REQUEST_KEYS = 200_000;
/** Jobs kept at once; more are refused as `job-limit-reached`. */
export const MAXIMUM_JOBS = 50_000;
/** Payloads, checkpoints and results kept at once, in bytes; more are refused as `job-limit-reached`. */
export const MAXIMUM_JOB_BYTES = 64 * 1_024 * 1_024;
/** Results are kept for this long after the end of the job. */
export const KEEP_RESULT_MS = 24 * 60 * 60 * 1_000;

/** Earlier tasks that are remembered for one job. */
const PAST_TASKS = 20;

const PURGE_EVERY_MS = 10_000;

/** The state of a cell's work stream. It folds facts, and leaves the refusal of new work to its users. */
export interface WorkLedger {
	/** Folds one record. Offsets only increase; a record at or before `offset` is ignored as `behind`. */
	fold(offset: number, value: string, now: MonotonicTime): FoldVerdict;
	/** Offset of the last record folded; -1 before the first. */
	readonly offset: number;
	/** Highest term seen in the stream. */
	readonly term: number;
	/** Who opened the term in the stream. */
	readonly leader: string | undefined;
	/** How often the fold ended in each verdict. */
	readonly verdicts: Readonly<Record<FoldVerdict, number>>;
	requestKey(team: string, key: string, now: MonotonicTime): RequestKeyEntry | undefined;
	readonly requestKeyCount: number;
	job(id: string): LedgerJob | undefined;
	jobs(): IterableIterator<LedgerJob>;
	readonly jobCount: number;
	/** Bytes of payloads, checkpoints and results. */
	readonly jobBytes: number;
	/** The state for a snapshot record. */
	serialize(now: MonotonicTime): string;
	/** Replaces the state by a snapshot that is ahead of it. @returns false when the snapshot is damaged or behind */
	restore(text: string, now: MonotonicTime): boolean;
}

/** Whether a job has ended for good. */
export function hasEnded(state: JobState): boolean {
	return state !== 'waiting' && state !== 'running';
}

type RecordOf<Type extends WorkRecord['type']> = Extract<WorkRecord, { type: Type }>;
type Handlers = { readonly [Type in WorkRecord['type']]: (record: RecordOf<Type>, now: MonotonicTime) => void };

const encoder = new TextEncoder();
const bytesOf = (text: string | undefined): number => (text === undefined ? 0 : encoder.encode(text).length);
const jobBytesOf = (job: LedgerJob): number =>
	bytesOf(job.request.payload) + bytesOf(job.checkpoint) + bytesOf(job.result);
const pastTasksOf = ({ pastTaskIds, taskId }: LedgerJob): readonly string[] =>
	taskId === undefined ? pastTaskIds : [...pastTaskIds, taskId].slice(-PAST_TASKS);
const keyOf = (team: string, key: string): string => JSON.stringify([team, key]);

/** Creates the ledger of one cell before the first record. */
export function createWorkLedger({ cell }: { readonly cell: string }): WorkLedger {
	let offset = -1;
	let term = 0;
	let leader: string | undefined;
	let keys = new Map<string, RequestKeyEntry>();
	let jobs = new Map<string, LedgerJob>();
	let jobBytes = 0;
	let purgeAt = -Infinity;
	let stopped = false;
	const verdicts: Record<FoldVerdict, number> = {
		folded: 0,
		behind: 0,
		'stale-term': 0,
		corrupt: 0,
		'newer-format': 0,
	};

	const setJob = (job: LedgerJob): void => {
		const previous = jobs.get(job.request.jobId);
		jobBytes += jobBytesOf(job) - (previous === undefined ? 0 : jobBytesOf(previous));
		jobs.set(job.request.jobId, job);
	};

	/** Changes a job that has not ended; only records of its last task count where a task is named. */
	const changeJob = (jobId: string, taskId: string | undefined, change: (job: LedgerJob) => LedgerJob): void => {
		const job = jobs.get(jobId);
		if (job !== undefined && !hasEnded(job.state) && (taskId === undefined || job.taskId === taskId)) {
			setJob(change(job));
		}
	};

	const ended = (job: LedgerJob, state: JobState, now: MonotonicTime, more: Partial<LedgerJob>): LedgerJob => ({
		...job,
		...more,
		state,
		// The payload and the checkpoint are of no use any more.
		request: { ...job.request, payload: '' },
		checkpoint: undefined,
		endedAt: now,
		forgetAt: now + KEEP_RESULT_MS,
	});

	const foldStart = (start: RequestStart, now: MonotonicTime): void => {
		const key = keyOf(start.team, start.requestKey);
		const known = keys.get(key);
		const forgetAt = now + start.keepMs;
		if (known !== undefined && now < known.forgetAt && known.state !== 'not-run') {
			// Another daemon may have forgotten the key before this record, so that it is kept for the longer time.
			keys.set(key, { ...known, forgetAt: Math.max(known.forgetAt, forgetAt) });
			return;
		}
		const { team, requestKey, requestId } = start;
		keys.set(key, { team, requestKey, requestId, term, state: 'started', forgetAt });
	};

	const foldEnd = (end: RequestEnd): void => {
		const key = keyOf(end.team, end.requestKey);
		const known = keys.get(key);
		// "Not run" is known only to the leader that recorded the start; another one may have been asked for the same id.
		const mayKnow = end.outcome !== 'not-run' || known?.term === term;
		if (mayKnow && known?.requestId === end.requestId && known.state === 'started') {
			keys.set(key, { ...known, state: end.outcome });
		}
	};

	const handlers: Handlers = {
		'term-opened': record => {
			leader = record.leader;
		},
		'requests-started': (record, now) => record.starts.forEach(start => foldStart(start, now)),
		'requests-ended': record => record.ends.forEach(foldEnd),
		'job-accepted': ({ job }) => {
			if (!jobs.has(job.jobId)) {
				setJob({ request: job, state: 'waiting', attempts: [], pastTaskIds: [] });
			}
		},
		'job-started': ({ jobId, taskId, host }) =>
			changeJob(jobId, undefined, job =>
				job.taskId === taskId || job.pastTaskIds.includes(taskId)
					? job
					: { ...job, state: 'running', taskId, host, pastTaskIds: pastTasksOf(job) },
			),
		'job-checkpointed': ({ jobId, taskId, checkpoint }) => changeJob(jobId, taskId, job => ({ ...job, checkpoint })),
		'job-finished': ({ jobId, taskId, result }, now) =>
			changeJob(jobId, taskId, job => ended(job, 'finished', now, { result })),
		'job-attempt-failed': ({ jobId, taskId, host, rack, reason }) =>
			changeJob(jobId, taskId, job => ({
				...job,
				state: 'waiting',
				taskId: undefined,
				host: undefined,
				attempts: [...job.attempts, { taskId, host, rack, reason }],
				pastTaskIds: pastTasksOf(job),
			})),
		'job-failed': ({ jobId, reason }, now) => changeJob(jobId, undefined, job => ended(job, 'failed', now, { reason })),
		'job-cancelled': ({ jobId }, now) => changeJob(jobId, undefined, job => ended(job, 'cancelled', now, {})),
		'job-outcome-unknown': ({ jobId, reason }, now) =>
			changeJob(jobId, undefined, job => ended(job, 'outcome-unknown', now, { reason })),
	};

	const purge = (now: MonotonicTime): void => {
		if (now < purgeAt) {
			return;
		}
		purgeAt = now + PURGE_EVERY_MS;
		for (const [key, { forgetAt }] of keys) {
			if (forgetAt <= now) {
				keys.delete(key);
			}
		}
		for (const [id, job] of jobs) {
			if (job.forgetAt !== undefined && job.forgetAt <= now) {
				jobBytes -= jobBytesOf(job);
				jobs.delete(id);
			}
		}
	};

	const verdictOf = (newOffset: number, value: string, now: MonotonicTime): FoldVerdict => {
		if (newOffset <= offset) {
			return 'behind';
		}
		const record = stopped ? 'newer-format' : parseWorkRecord(value);
		if (record === 'newer-format') {
			// A guess at the meaning could start work twice, so that the fold stays before this record.
			stopped = true;
			return 'newer-format';
		}
		offset = newOffset;
		if (record === 'corrupt') {
			return 'corrupt';
		}
		if (record.term < term) {
			return 'stale-term';
		}
		if (record.term > term) {
			term = record.term;
			leader = undefined;
		}
		(handlers[record.type] as (handled: WorkRecord, at: MonotonicTime) => void)(record, now);
		return 'folded';
	};

	return {
		fold: (newOffset, value, now) => {
			purge(now);
			const verdict = verdictOf(newOffset, value, now);
			verdicts[verdict]++;
			return verdict;
		},
		get offset() {
			return offset;
		},
		get term() {
			return term;
		},
		get leader() {
			return leader;
		},
		verdicts,
		requestKey: (team, key, now) => {
			const found = keys.get(keyOf(team, key));
			return found !== undefined && now < found.forgetAt ? found : undefined;
		},
		get requestKeyCount() {
			return keys.size;
		},
		job: id => jobs.get(id),
		jobs: () => jobs.values(),
		get jobCount() {
			return jobs.size;
		},
		get jobBytes() {
			return jobBytes;
		},
		serialize: now =>
			writeWorkSnapshot({
				formatVersion: 1,
				cell,
				offset,
				term,
				keys: [...keys.values()]
					.filter(entry => now < entry.forgetAt)
					.map(({ forgetAt, ...entry }) => ({ ...entry, keepMs: forgetAt - now })),
				jobs: [...jobs.values()].map(job => ({
					request: job.request,
					state: job.state,
					taskId: job.taskId,
					host: job.host,
					checkpoint: job.checkpoint,
					result: job.result,
					reason: job.reason,
					attempts: [...job.attempts],
					pastTaskIds: [...job.pastTaskIds],
					keepMs: job.forgetAt === undefined ? undefined : job.forgetAt - now,
				})),
			}),
		restore: (text, now) => {
			const snapshot = readWorkSnapshot(text);
			if (snapshot?.cell !== cell || snapshot.offset < offset) {
				return false;
			}
			({ offset, term } = snapshot);
			leader = undefined;
			stopped = false;
			keys = new Map(
				snapshot.keys.map(({ keepMs, ...entry }) => [
					keyOf(entry.team, entry.requestKey),
					{ ...entry, forgetAt: now + keepMs },
				]),
			);
			jobs = new Map(
				snapshot.jobs.map(({ keepMs, ...job }) => [
					job.request.jobId,
					keepMs === undefined ? job : { ...job, endedAt: now, forgetAt: now + keepMs },
				]),
			);
			jobBytes = [...jobs.values()].reduce((sum, job) => sum + jobBytesOf(job), 0);
			return true;
		},
	};
}
