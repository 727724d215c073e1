import { describe, expect, it } from 'vitest';
import { hosts, pools, waves } from './modelFleet.js';
import { runModel, type Fault, type ModelResult, type ModelRun } from './waveModel.js';

const quiet: ModelRun = {
	seed: 20261204,
	pools,
	hosts,
	waves: waves.slice(0, 1),
	faults: [],
	rebootMs: 25_000,
	listLagMs: 4_000,
	drainSurvivesReboot: false,
	lostAnswers: 0,
	endAt: 1_500_000,
};
const run = (options: Partial<ModelRun>): ModelResult => {
	const result = runModel({ ...quiet, ...options });
	expect(result.checks.violations).toEqual([]);
	return result;
};
const fault = (kind: Fault['kind'], seconds: number, forSeconds = 0, target = 0): Fault => ({
	kind,
	at: seconds * 1_000,
	forMs: forSeconds * 1_000,
	target,
});
const waveOf = (result: ModelResult): ModelResult['state']['fleet']['waves'][string] | undefined =>
	result.state.fleet.waves.first;

describe('waves under faults', () => {
	it('reboots each host once when nothing fails, so that no host is passed over or rebooted twice', () => {
		const result = run({});
		expect(waveOf(result)?.state).toBe('finished');
		expect(result.checks.reboots).toBe(hosts.length);
		expect(result.refusedClaims).toBe(0);
	});

	it('stays within the budget while a rack of four is lost, and finishes after its return', () => {
		const result = run({ faults: [fault('rack-fails', 45, 200)] });
		expect(waveOf(result)?.state).toBe('finished');
	});

	it('stops for a host that does not return and resumes by itself, so that the wave neither hangs nor spreads', () => {
		const faults = Array.from({ length: hosts.length }, (_, index) => fault('reboot-hangs', 1, 200, index));
		const result = run({ faults });
		expect(result.accepted).toContain('wave-stopped');
		expect(result.accepted).toContain('wave-resumed');
		expect(waveOf(result)?.state).toBe('finished');
	});

	it('stays stopped and names the host when it never returns', () => {
		const faults = Array.from({ length: hosts.length }, (_, index) => fault('reboot-hangs', 1, 100_000, index));
		const result = run({ faults });
		expect(waveOf(result)?.state).toBe('stopped');
		expect(waveOf(result)?.reason).toMatch(/^host-overdue: [ab]-\d/);
		expect(result.checks.claims).toBeLessThanOrEqual(5);
	});

	it('stops when returned hosts fail their first requests, so that a bad image does not reach the whole pool', () => {
		const faults = Array.from({ length: hosts.length }, (_, index) => fault('tasks-fail', 1, 100_000, index));
		const result = run({ faults });
		expect(waveOf(result)?.state).toBe('stopped');
		expect(waveOf(result)?.reason).toMatch(/^returned-hosts-failing: /);
		const returned = Object.values(waveOf(result)?.hosts ?? {}).filter(hostState => hostState === 'returned');
		expect(returned.length).toBeLessThan(hosts.length);
	});

	it('stops for a host that fails again after it was back while the log was out', () => {
		const faults = [fault('log-out', 30, 150), ...hosts.map((_, index) => fault('host-fails', 120, 100_000, index))];
		const result = run({ faults });
		expect(waveOf(result)?.state).toBe('stopped');
	});

	it('goes on under a new leader while the old one is paused and resumes, in the middle of claims', () => {
		for (const seed of [1, 2, 3, 4, 5, 6]) {
			const faults = [20, 55, 90].map(seconds => fault('leader-paused', seconds + seed, 10 * seed));
			const result = run({ faults, seed, waves });
			expect(result.leaderChanges).toBeGreaterThanOrEqual(2);
			expect(waveOf(result)?.state).toBe('finished');
		}
	});

	it('finishes when half of the append answers are lost, without a second claim or return taking effect', () => {
		const result = run({ lostAnswers: 0.5 });
		expect(waveOf(result)?.state).toBe('finished');
		expect(result.accepted.filter(type => type === 'wave-claim')).toHaveLength(hosts.length);
		expect(result.accepted.filter(type => type === 'host-returned')).toHaveLength(hosts.length);
	});

	it('makes no new claim after a withdrawal half-way, and returns the hosts that were claimed', () => {
		const result = run({ faults: [fault('wave-withdrawn', 50)] });
		const hostStates = Object.values(waveOf(result)?.hosts ?? {});
		expect(waveOf(result)?.state).toBe('finished');
		expect(hostStates).toContain('waiting');
		expect(hostStates).not.toContain('claimed');
		// At most the claims that were on their way.
		expect(result.refusedClaims).toBeLessThanOrEqual(5);
	});

	it('counts a host that is moved during its drain in its old pool until it returns, then in the new one', () => {
		const result = run({ faults: [fault('host-moved', 12), fault('host-moved', 60)] });
		expect(waveOf(result)?.state).toBe('finished');
		const moved = hosts.filter(host => result.state.fleet.hosts[host.name]?.pool !== host.pool);
		expect(moved).toHaveLength(2);
	});

	it('lets two waves over the same hosts share one budget and both finish', () => {
		const result = run({ waves });
		expect(Object.values(result.state.fleet.waves).map(wave => wave.state)).toEqual(['finished', 'finished']);
	});
});
