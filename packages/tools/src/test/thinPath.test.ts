import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { startDeskFleet } from '../node/fleet/deskFleet.js';
import { barleyDesk, sampleKey } from '../node/fleet/deskNote.js';
import { exchange, sendRequest, type FleetAnswer } from '../node/fleet/fleetClient.js';
import type { LocalFleet } from '../node/fleet/localFleet.js';

describe('the path from caller to endpoint over real processes', () => {
	let fleet: LocalFleet;
	const address = (index: number): string => fleet.daemons[index]?.callerAddress ?? '';
	const control = (index: number): string => fleet.daemons[index]?.entryHost.address ?? '';
	const errorOf = (answer: FleetAnswer): { kind: string; outcome: string; message: string } =>
		(JSON.parse(answer.body) as { error: { kind: string; outcome: string; message: string } }).error;

	beforeAll(async () => {
		fleet = await startDeskFleet([barleyDesk], { workers: 10, daemonDataCentres: ['dc-1', 'dc-2', 'dc-3'] });
	});

	afterAll(async () => {
		await fleet.stop();
	});

	it('gives the whole answer of the endpoint through every daemon', async () => {
		for (const index of fleet.daemons.keys()) {
			const body = JSON.stringify({ text: `through daemon ${index}` });
			const answer = await sendRequest(address(index), { queue: 'pricing', key: sampleKey('brewers'), body });
			expect(answer.status, answer.body).toBe(200);
			expect(JSON.parse(answer.body)).toMatchObject({ team: 'brewers', queue: 'pricing' });
			expect(answer.body).toContain(`through daemon ${index}`);
		}
	});

	it.each([
		['an unknown key', { queue: 'pricing', key: 'no-such-key' }, 401, 'unknown-key'],
		['no key', { queue: 'pricing' }, 401, 'unknown-key'],
		['an unknown queue', { queue: 'no-such-queue', key: sampleKey('brewers') }, 404, 'unknown-queue'],
		['a deadline of zero', { queue: 'pricing', key: sampleKey('brewers'), deadlineMs: 0 }, 400, 'bad-request'],
		[
			'a body over the limit',
			{ queue: 'pricing', key: sampleKey('brewers'), body: 'x'.repeat(1_048_577) },
			413,
			'body-too-large',
		],
		[
			'a class that does not exist',
			{ queue: 'pricing', key: sampleKey('brewers'), headers: { 'x-class': 'fast' } },
			400,
			'bad-request',
		],
		[
			'a request that may not be repeated without a request key',
			{ queue: 'pricing', key: sampleKey('brewers'), headers: { 'x-repeatable': 'no' } },
			400,
			'missing-request-key',
		],
	])('refuses %s as not run', async (_what, request, status, kind) => {
		const answer = await sendRequest(address(0), request);
		expect(answer.status).toBe(status);
		expect(errorOf(answer)).toMatchObject({ kind, outcome: 'not-run' });
	});

	it('refuses a request without a deadline and names the header', async () => {
		const url = `${address(0)}/v1/queues/pricing/requests`;
		const answer = await exchange('POST', url, '{}', { authorization: `Bearer ${sampleKey('brewers')}` });
		expect(errorOf(answer)).toMatchObject({ kind: 'missing-deadline' });
		expect(errorOf(answer).message).toContain('x-deadline-ms');
	});

	it('refuses a malformed note and a wrong operator key, and keeps what was accepted', async () => {
		const headers = { 'content-type': 'application/json', authorization: `Bearer ${fleet.operatorKey}` };
		const malformed = await exchange('POST', `${control(1)}/operator/notes`, '{"id": ', headers);
		expect(errorOf(malformed).kind).toBe('bad-request');
		const wrongKey = await exchange('POST', `${control(1)}/operator/notes`, '{}', {
			...headers,
			authorization: 'Bearer x',
		});
		expect(errorOf(wrongKey).kind).toBe('operator-unauthorized');
		const unknownField = await exchange('POST', `${control(1)}/operator/notes`, '{"id": "a", "speed": 1}', headers);
		expect(errorOf(unknownField).kind).toBe('note-invalid');
		const answer = await sendRequest(address(1), { queue: 'contracts', key: sampleKey('traders') });
		expect(answer.status).toBe(200);
	});
});
