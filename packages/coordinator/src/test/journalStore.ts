import type { AppendConditions, AppendOutcome, LogService } from '@chestnutwheel/ports/common/logService.js';
import type { StoreMood } from './leadershipModel.js';
import type { VirtualTime } from './virtualTime.js';

/** How the store handles a call. `act-late`: does not answer, and acts some seconds later. */
export type CallMood = StoreMood | 'act-late';

/** A journal on a store that checks writer epochs and sequence numbers. */
export interface JournalStore {
	readonly records: readonly Uint8Array[];
	/** Creates a path to the store. @param mood returns how the store handles a call that arrives now */
	createPath(mood: () => CallMood): LogService;
}

const STORE_DELAY_MS = 4;
const ANSWER_TIMEOUT_MS = 300;
const RECORDS_PER_READ = 20;

/** Number of newest appends of a writer whose repetition gets the first answer again. */
const REMEMBERED_APPENDS = 5;

/** Creates an empty journal. @param lateMs returns the time after which a late call is carried out */
export function createJournalStore(time: VirtualTime, lateMs: () => number): JournalStore {
	const records: Uint8Array[] = [];
	let epoch = 0;
	let appends: { readonly sequence: number; readonly outcome: AppendOutcome }[] = [];

	const append = (added: readonly Uint8Array[], { writer }: AppendConditions): AppendOutcome => {
		if (writer === undefined || writer.epoch < epoch) {
			return { type: 'fenced', epoch };
		}
		if (writer.epoch > epoch) {
			epoch = writer.epoch;
			appends = [];
		}
		const { sequence } = writer;
		const first = appends.find(known => known.sequence === sequence);
		if (first !== undefined) {
			return first.outcome;
		}
		const expected = (appends.at(-1)?.sequence ?? 0) + 1;
		if (sequence !== undefined && sequence !== expected) {
			return { type: 'out-of-sequence', expected };
		}
		const offset = records.length;
		records.push(...added);
		const outcome: AppendOutcome = { type: 'appended', offset, end: records.length };
		if (sequence !== undefined) {
			appends = [...appends, { sequence, outcome }].slice(-REMEMBERED_APPENDS);
		}
		return outcome;
	};

	return {
		records,
		createPath: mood => ({
			append: async (_topic, added, conditions, signal) => {
				await time.sleep(STORE_DELAY_MS);
				const current = mood();
				if (current === 'refuse') {
					return { type: 'refused', reason: 'busy' };
				}
				if (current === 'serve') {
					return append(added, conditions);
				}
				if (current === 'act-and-lose') {
					append(added, conditions);
				} else if (current === 'act-late') {
					void time.sleep(lateMs()).then(() => append(added, conditions));
				}
				await time.sleep(conditions.answerWithinMs ?? ANSWER_TIMEOUT_MS, signal);
				return { type: 'unknown', reason: 'no answer' };
			},
			read: async (_topic, from) => {
				await time.sleep(STORE_DELAY_MS);
				return mood() === 'serve'
					? { type: 'records', first: 0, end: records.length, records: records.slice(from, from + RECORDS_PER_READ) }
					: { type: 'failed', reason: 'busy' };
			},
			newest: () => Promise.resolve({ type: 'failed', reason: 'the model has no keyed topics' }),
			trim: () => Promise.resolve(false),
			keyedRecord: () => new Uint8Array(),
			parseKeyedRecord: () => undefined,
		}),
	};
}
