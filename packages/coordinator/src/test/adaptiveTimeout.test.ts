import { describe, expect, it } from 'vitest';
import { createAdaptiveTimeout } from '../common/adaptiveTimeout.js';

describe('the adaptive timeout', () => {
	it('starts at the minimum and follows the latency', () => {
		const timeout = createAdaptiveTimeout({ minimumMs: 200, maximumMs: 2_000 });
		expect(timeout.currentMs).toBe(200);
		for (let call = 0; call < 40; call++) {
			timeout.recordLatency(150);
		}
		expect(Math.round(timeout.currentMs)).toBe(600);
		for (let call = 0; call < 60; call++) {
			timeout.recordLatency(4);
		}
		expect(timeout.currentMs).toBe(200);
	});

	it('starts from the latency of an earlier call to the peer', () => {
		expect(createAdaptiveTimeout({ minimumMs: 200, maximumMs: 1_500, knownLatencyMs: 180 }).currentMs).toBe(720);
		expect(createAdaptiveTimeout({ minimumMs: 200, maximumMs: 1_500, knownLatencyMs: 4 }).currentMs).toBe(200);
		expect(createAdaptiveTimeout({ minimumMs: 200, maximumMs: 1_500, knownLatencyMs: 900 }).currentMs).toBe(1_500);
	});

	it('doubles with each time-out up to the maximum, and adapts to a slow peer with its first response', () => {
		const timeout = createAdaptiveTimeout({ minimumMs: 200, maximumMs: 1_500 });
		const waits = [1, 2, 3, 4].map(() => {
			timeout.recordTimeout();
			return timeout.currentMs;
		});
		expect(waits).toEqual([400, 800, 1_500, 1_500]);
		timeout.recordLatency(320);
		expect(timeout.currentMs).toBe(1_280);
	});
});
