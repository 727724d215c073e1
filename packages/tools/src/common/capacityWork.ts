import type { WorkRecord } from '@chestnutwheel/work/common/workRecord.js';
import { createWorkLedger, type WorkLedger } from '@chestnutwheel/work/common/workLedger.js';

/** Folds records of one kind into the ledger of a cell. @throws when one is not folded */
function foldRecords(count: number, create: (index: number) => WorkRecord): WorkLedger {
	const ledger = createWorkLedger({ cell: 'cell' });
	for (let index = 0; index < count; index++) {
		const verdict = ledger.fold(index, JSON.stringify(create(index)), 0);
		if (verdict !== 'folded') {
			throw new Error(`record ${index} was not folded: ${verdict}`);
		}
	}
	return ledger;
}

/** A ledger with waiting jobs of 256 bytes of payload each. */
export function foldJobs(count: number): WorkLedger {
	return foldRecords(count, index => ({
		...{ version: 1, term: 1, type: 'job-accepted' },
		job: {
			...{ jobId: `job-${index}`, team: `team-${index % 6}`, keyId: `key-${index % 6}`, queue: 'queue' },
			payload: `${index}`.padStart(256, '.'),
			repeatable: true,
		},
	}));
}

/** A ledger with the keys of started requests. */
export function foldRequestKeys(count: number): WorkLedger {
	return foldRecords(count, index => ({
		...{ version: 1, term: 1, type: 'requests-started' },
		starts: [{ team: `team-${index % 6}`, requestKey: `key-${index}`, requestId: `request-${index}`, keepMs: 600_000 }],
	}));
}
