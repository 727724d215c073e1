import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { errorResponses } from '@chestnutwheel/base/common/errorKinds.js';
import {
	readExamples,
	readInterfacesPage,
	replayExamples,
	type ComparedAnswer,
} from '@chestnutwheel/standins/test/pageExamples.js';
import { exchange, waitUntilLed } from '../node/fleet/fleetClient.js';
import { startLocalFleet, type LocalFleet } from '../node/fleet/localFleet.js';

const compare = ({ firstLine, expected, found }: ComparedAnswer): void => expect(found, firstLine).toEqual(expected);

/** The first cells of the rows of a table, which follows a row with the given head. */
function tableRows(head: string): readonly (readonly string[])[] {
	const lines = readInterfacesPage().split('\n');
	const first = lines.indexOf(head) + 2;
	const end = lines.findIndex((line, index) => index >= first && !line.startsWith('|'));
	return lines.slice(first, end === -1 ? undefined : end).map(line =>
		line
			.split('|')
			.slice(1, -1)
			.map(cell => cell.trim().replaceAll('`', '')),
	);
}

// Guards against a page that no longer describes what a daemon answers. The tests build on each other in this order.
describe('the examples of docs/interfaces.md hold for a daemon', () => {
	let fleet: LocalFleet;
	const variables: Record<string, string> = {};
	const control = (): string => fleet.daemons[0]?.entryHost.address ?? '';

	beforeAll(async () => {
		fleet = await startLocalFleet({ workers: 1, daemonDataCentres: ['dc-1'] });
		variables.entryHost = control();
		variables.worker = fleet.workers[0]?.address ?? '';
	});

	afterAll(async () => {
		await fleet.stop();
	});

	it('for operators', async () => {
		const examples = readExamples('operator');
		expect(examples.length).toBeGreaterThanOrEqual(12);
		await replayExamples(control(), examples, variables, compare);
	});

	it('for callers', async () => {
		const examples = readExamples('caller');
		expect(examples.length).toBeGreaterThanOrEqual(12);
		await waitUntilLed(control(), fleet.operatorKey);
		await replayExamples(fleet.daemons[0]?.callerAddress ?? '', examples, variables, compare);
	});

	it('name every series that the daemon has written', async () => {
		const { body } = await exchange('GET', `${control()}/metrics`, undefined, {});
		const written = new Set([...body.matchAll(/^chestnutwheel_(\w+)/gm)].map(match => match[1]));
		const described = tableRows('| Series, after `chestnutwheel_` | Labels | Meaning |').map(([name]) => name);
		expect(described).toEqual(expect.arrayContaining([...written]));
		expect(written.size).toBeGreaterThan(5);
	});
});

// Guards against a page on which a caller looks up another status, outcome or retry than a daemon gives.
it('the table of error kinds in docs/interfaces.md is the one in the code', () => {
	const expected = Object.entries(errorResponses).map(([kind, { status, exitCode, outcome, mayRetry }]) => [
		kind,
		String(status),
		String(exitCode),
		outcome,
		mayRetry ? 'yes' : 'no',
	]);
	expect(tableRows('| Kind | Status | Exit code | Outcome | Try again |')).toEqual(expected);
});
