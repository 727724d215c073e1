import { describe, expect, it } from 'vitest';
import { createLineBudget } from '../common/lineBudget.js';

describe('decision lines while hundreds of tasks start per second', () => {
	it('leave room for rare decisions, stay within the budget, and are counted when left out', () => {
		const budget = createLineBudget(100);
		budget.beginSecond(1_000);
		const written = Array.from({ length: 500 }, () => budget.admit('tasks-started')).filter(Boolean).length;
		expect(written).toBe(80);
		expect(budget.admit('store-relayed')).toBe(true);
		const rare = Array.from({ length: 50 }, (_, index) => budget.admit(`rare-${index}`)).filter(Boolean).length;
		expect(written + 1 + rare).toBe(100);
		expect(budget.beginSecond(1_999)).toBe(0);
		expect(budget.beginSecond(2_000)).toBe(420 + 31);
		expect(budget.admit('tasks-started')).toBe(true);
	});
});
