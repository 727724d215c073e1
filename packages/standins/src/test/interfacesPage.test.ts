import { describe, expect, it } from 'vitest';
import { createHostListStandin } from '../node/hostListStandin.js';
import { createLogStandin } from '../node/logStandin.js';
import { createWorkerStandin } from '../node/workerStandin.js';
import { readExamples, replayExamples } from './pageExamples.js';

const starters = {
	log: () => createLogStandin(),
	'host-list': () => createHostListStandin(),
	worker: () => createWorkerStandin({ host: 'worker-1', rebootMs: 5, usageLagMs: 0 }),
};

// Guards against a page that no longer describes what the stand-ins, and thus the clients, do.
describe('the examples of docs/interfaces.md', () => {
	it.each(Object.entries(starters))('hold for the stand-in %s', async (service, start) => {
		const standin = await start();
		const examples = readExamples(service);
		expect(examples.length).toBeGreaterThanOrEqual(3);
		await replayExamples(standin.address, examples, {}, ({ firstLine, expected, found }) => {
			expect(found, firstLine).toEqual(expected);
		});
		await standin.close();
	});
});
