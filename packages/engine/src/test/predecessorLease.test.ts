import { describe, expect, it } from 'vitest';
import type { ListedRun } from '@chestnutwheel/ports/common/workerService.js';
import { createEngineHarness, harnessJob, harnessQueue, harnessStep, type EngineHarness } from './engineHarness.js';
import { modelSettings } from './modelSettings.js';

const JOB = '00000000000000a1';
const TASK = `${JOB}.0.0.0`;

const options = { pools: [{ name: 'desk', isStandby: false, guardsRoom: false }], queues: [harnessQueue('desk')] };

/** Starts a task on a worker, whose lease the leader extends, and returns the journal. */
function leadUntilReplaced(): Pick<EngineHarness, 'journal' | 'now'> {
	const former = createEngineHarness(options);
	former.addWorker('w', 'desk');
	former.submit(JOB, 'desk', harnessJob(harnessStep({ count: 1, estimateMs: 20_000 })));
	former.advance(20);
	former.confirmStarts();
	former.advance(480);
	return former;
}

function restartsOf(harness: EngineHarness): number {
	return harness.takeEffects().filter(effect => effect.type === 'start' && effect.task === TASK).length;
}

describe('a worker that falls silent early in a term', () => {
	const running: ListedRun = { task: TASK, run: 1, checkpoint: '', percent: 10, load: undefined };

	/**
	 * Leads after another leader and lists the worker once. The worker then falls silent, before its lease was extended in this
	 * term.
	 */
	function takeOver(startsTask: boolean): EngineHarness {
		const { journal, now } = leadUntilReplaced();
		const harness = createEngineHarness({ ...options, journal, now });
		const worker = harness.addWorker('w', 'desk', {}, [running]);
		if (startsTask) {
			harness.submit('00000000000000b2', 'desk', harnessJob(harnessStep({ count: 1, estimateMs: 20_000 })));
			harness.advance(20);
			expect(harness.confirmStarts()).toBe(1);
		}
		harness.engine.monitor.pollAnswered('w@1', { type: 'silent', reason: 'no answer' }, harness.now);
		harness.setSilent(worker, true);
		harness.addWorker('other', 'desk');
		harness.takeEffects();
		return harness;
	}

	/** Latest time for which the former leader may have extended the lease, after its last poll. */
	const inheritedLeaseMs = modelSettings.leaseMs - 100;

	it('keeps the runs of the former leader while the lease that it extended may go on', () => {
		const harness = takeOver(false);
		harness.advance(inheritedLeaseMs);
		expect(restartsOf(harness)).toBe(0);
	});

	// The short lease of the new start replaced the longer one of the former leader, so that its tasks ran twice.
	it('keeps the runs of the former leader although a task was started on it meanwhile', () => {
		const harness = takeOver(true);
		harness.advance(inheritedLeaseMs);
		expect(restartsOf(harness)).toBe(0);
	});

	it('loses the runs of the former leader once its lease has certainly run out', () => {
		const harness = takeOver(true);
		harness.advance(modelSettings.validMs + modelSettings.leaseMs + 1_000);
		expect(restartsOf(harness)).toBe(1);
	});
});
