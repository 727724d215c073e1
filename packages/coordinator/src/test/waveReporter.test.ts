import { beforeEach, describe, expect, it, vi } from 'vitest';
import type { WaveStatusPublisher } from '@chestnutwheel/ports/common/hostService.js';
import type { AppendOutcome, WriterPosition } from '@chestnutwheel/ports/common/logService.js';
import { createTermProof } from '../common/termProof.js';
import { createWaveReporter, type WaveReporter } from '../node/leader/waveReporter.js';
import { createJournalStore, type CallMood, type JournalStore } from './journalStore.js';
import { createVirtualTime, type VirtualTime } from './virtualTime.js';

const LATE_MS = 3_000;

let time: VirtualTime;
let store: JournalStore;

vi.mock('@chestnutwheel/base/node/delay.js', () => ({
	delay: (milliseconds: number, signal: AbortSignal) => time.sleep(milliseconds, signal),
}));

beforeEach(() => {
	time = createVirtualTime();
	store = createJournalStore(time, () => LATE_MS);
});

/** Creates a publisher. @param moods how the store handles the first reports; it serves the later ones */
function createPublisher(moods: readonly CallMood[]): WaveStatusPublisher {
	const left = [...moods];
	const log = store.createPath(() => left.shift() ?? 'serve');
	return {
		publish: (_wave, state, writer, signal) =>
			log.append('wave-status', [new TextEncoder().encode(state)], { writer }, signal),
	};
}

/** Creates the reporter of a term that the store confirms every 100 ms. */
function createReporter(term: number, waveReports: WaveStatusPublisher): WaveReporter {
	const { signal } = new AbortController();
	const proof = createTermProof(time.clock);
	const confirm = async (): Promise<void> => {
		for (;;) {
			await time.sleep(100);
			proof.confirm(proof.sendTime());
		}
	};
	void confirm();
	return createWaveReporter({ waveReports, clock: time.clock, term, proof }, signal);
}

const storedStates = (): readonly string[] => store.records.map(record => new TextDecoder().decode(record));

describe('a wave report whose answer is lost', () => {
	// A report of running that the store carried out seconds later overwrote the completion.
	it('is not carried out after the completion that the same leader has reported', async () => {
		const reporter = createReporter(1, createPublisher(['act-late']));
		void reporter.report(1, 'running');
		await time.advance(50);
		void reporter.report(1, 'done');
		await time.advance(2 * LATE_MS);
		expect(storedStates()).toEqual(['running', 'done']);
	});

	it('is not carried out after the completion that a successor has reported', async () => {
		const former = createReporter(1, createPublisher(['serve', 'act-late']));
		void former.report(1, 'running');
		await time.advance(50);
		void former.report(2, 'running');
		await time.advance(50);
		void createReporter(2, createPublisher([])).report(2, 'done');
		await time.advance(2 * LATE_MS);
		expect(storedStates()).toEqual(['running', 'done']);
	});

	// With the sequence number of the lost one, a newer report is taken for its repetition and is not stored.
	it('is followed by the newer report if it was stored', async () => {
		const reporter = createReporter(1, createPublisher(['act-and-lose', 'refuse']));
		void reporter.report(1, 'running');
		await time.advance(50);
		void reporter.report(1, 'done');
		await time.advance(2_000);
		expect(storedStates()).toEqual(['running', 'done']);
	});
});

describe('a wave reporter', () => {
	/** Creates a publisher that returns the given outcomes and records the writers. */
	const createScript = (
		outcomes: readonly AppendOutcome[],
	): WaveStatusPublisher & { readonly writers: WriterPosition[] } => {
		const writers: WriterPosition[] = [];
		return {
			writers,
			publish: (_wave, _state, writer) => {
				writers.push(writer);
				return Promise.resolve(outcomes[writers.length - 1] ?? { type: 'appended', offset: 0, end: 1 });
			},
		};
	};

	// The store compares the epochs of one writer.
	it('has the same name in every term, and the term as its epoch', async () => {
		const script = createScript([]);
		await createReporter(1, script).report(1, 'done');
		await createReporter(2, script).report(1, 'done');
		expect(script.writers.map(({ name }) => name)).toEqual(['leader', 'leader']);
		expect(script.writers.map(({ epoch }) => epoch)).toEqual([1, 2]);
	});

	it('stops when a successor has reported', async () => {
		const script = createScript([{ type: 'fenced', epoch: 2 }]);
		const reporter = createReporter(1, script);
		await reporter.report(1, 'running');
		await reporter.report(1, 'done');
		expect(script.writers).toHaveLength(1);
	});

	it('continues at the sequence number that the store expects', async () => {
		const script = createScript([{ type: 'out-of-sequence', expected: 7 }]);
		void createReporter(1, script).report(1, 'running');
		await time.advance(1_000);
		expect(script.writers.map(({ sequence }) => sequence)).toEqual([1, 7]);
	});
});
