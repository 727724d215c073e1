import type { HostEvent, JobStatePart, JournalEvent, WaveProgress } from './journalEvent.js';

type Divider<Event extends JournalEvent> = (event: Event) => readonly [Event, Event] | undefined;

/** Divides the list in one field of an event. Readers apply the two events as they would the whole one. */
function listDivider<Field extends string, Event extends JournalEvent & Readonly<Record<Field, readonly unknown[]>>>(
	field: Field,
): Divider<Event> {
	return event => {
		const list = event[field];
		const half = Math.ceil(list.length / 2);
		return list.length < 2
			? undefined
			: [
					{ ...event, [field]: list.slice(0, half) },
					{ ...event, [field]: list.slice(half) },
				];
	};
}

function halves<Value>(list: readonly Value[]): readonly [readonly Value[], readonly Value[]] {
	const half = Math.ceil(list.length / 2);
	return [list.slice(0, half), list.slice(half)];
}

function divideHosts(
	event: Extract<HostEvent, { type: 'hosts-rewritten' }>,
): readonly [typeof event, typeof event] | undefined {
	const settledCount = event.waves.reduce((sum, { settled }) => sum + settled.length, 0);
	if (event.orders.length < 2 && event.last.length < 2 && event.waves.length < 2 && settledCount < 2) {
		return undefined;
	}
	const [firstOrders, otherOrders] = halves(event.orders);
	const [firstLast, otherLast] = halves(event.last);
	const [firstWaves, otherWaves] = event.waves.length > 1 ? halves(event.waves) : divideWave(event.waves);
	return [
		{ ...event, orders: firstOrders, waves: firstWaves, last: firstLast },
		{ ...event, orders: otherOrders, waves: otherWaves, last: otherLast },
	];
}

/** Divides the settled hosts of the only wave. Readers add up the hosts of a wave that is named twice. */
function divideWave(waves: readonly WaveProgress[]): readonly [readonly WaveProgress[], readonly WaveProgress[]] {
	const [only] = waves;
	if (only === undefined || only.settled.length < 2) {
		return [waves, []];
	}
	const [first, other] = halves(only.settled);
	return [[{ ...only, settled: first }], [{ ...only, settled: other }]];
}

const dividers: { readonly [Type in JournalEvent['type']]?: Divider<Extract<JournalEvent, { type: Type }>> } = {
	started: listDivider('runs'),
	ended: listDivider('runs'),
	dropped: listDivider('runs'),
	'cancelled-early': listDivider('cancels'),
	'long-leases': listDivider('workers'),
	forgotten: listDivider('jobs'),
	closed: listDivider('jobs'),
	learned: listDivider('queues'),
	'hosts-rewritten': divideHosts,
};

/**
 * Divides an event into two of the same type that together say the same, so that each fits into a record of the store. Load:
 * the start of a gang of thousands, the ends of a whole fleet, thousands of ended jobs, the orders to all hosts.
 * @returns `undefined` if the event cannot be divided; see {@link divideJobState} for the state of a job
 */
export function divideEvent(event: JournalEvent): readonly [JournalEvent, JournalEvent] | undefined {
	const divide = dividers[event.type] as Divider<JournalEvent> | undefined;
	return divide?.(event);
}

/**
 * Divides the state of a job into parts of about equal size, the first of which holds the job itself. Load: a job of 100,000
 * tasks in all its repetitions. The parts follow one another in the journal.
 * @param stateId identity of the state, which no other state of the job has
 * @param rowParts number of parts among which the rows of tasks and runs are divided
 */
export function divideJobState(
	{ job, state, tasks, active }: Extract<JournalEvent, { type: 'rewritten' }>,
	stateId: string,
	rowParts: number,
): readonly JobStatePart[] {
	const taskRows = Math.ceil(tasks.length / rowParts);
	const activeRows = Math.ceil(active.length / rowParts);
	const parts = rowParts + 1;
	const common = { type: 'rewritten-part', job: job.id, stateId, parts } as const;
	return [
		{ ...common, part: 0, head: { job, state }, tasks: [], active: [] },
		...Array.from({ length: rowParts }, (_, index): JobStatePart => ({
			...common,
			part: index + 1,
			tasks: tasks.slice(index * taskRows, (index + 1) * taskRows),
			active: active.slice(index * activeRows, (index + 1) * activeRows),
		})),
	];
}
