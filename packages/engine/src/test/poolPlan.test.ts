import { describe, expect, it } from 'vitest';
import { planMoves, type MovableHost, type PoolNeed } from '../common/pools/poolPlan.js';

const need = (pool: string, have: number, wanted: number, changes: Partial<PoolNeed> = {}): PoolNeed => ({
	pool,
	currentHosts: have,
	targetHosts: wanted,
	retainedHosts: wanted,
	priority: 0,
	...changes,
});

const hosts = (pool: string, count: number, changes: Partial<MovableHost> = {}): readonly MovableHost[] =>
	Array.from({ length: count }, (_, index) => ({
		host: `${pool}-${index}`,
		pool,
		isOff: pool === 'spare',
		isMaintenanceDue: false,
		fits: () => true,
		...changes,
	}));

const targets = (moves: readonly { readonly to: string }[]): Record<string, number> => {
	const counts: Record<string, number> = {};
	for (const { to } of moves) {
		counts[to] = (counts[to] ?? 0) + 1;
	}
	return counts;
};

describe('moves between pools', () => {
	it('give the pool that peaks what the others do not want', () => {
		const moves = planMoves([need('north', 6, 14), need('south', 6, 2)], hosts('south', 5), undefined);
		expect(targets(moves)).toEqual({ north: 4 });
		expect(moves.every(({ from }) => from === 'south')).toBe(true);
	});

	it('take hosts that are off before hosts of another pool, and those that wait for upkeep last', () => {
		const idle = [
			...hosts('south', 2),
			...hosts('spare', 1),
			...hosts('spare', 1, { host: 'due', pool: 'spare', isOff: true, isMaintenanceDue: true }),
		];
		const moves = planMoves([need('north', 0, 2), need('south', 4, 2)], idle, 'spare');
		expect(moves.filter(({ to }) => to === 'north').map(({ host }) => host)).toEqual(['spare-0', 'south-0']);
	});

	it('share too few hosts by what is lacking, after the priority', () => {
		const wants = [need('north', 0, 8), need('south', 0, 4)];
		expect(targets(planMoves(wants, hosts('spare', 6), 'spare'))).toEqual({ north: 4, south: 2 });
		const urgent = [need('north', 0, 8), need('south', 0, 4, { priority: -1 })];
		expect(targets(planMoves(urgent, hosts('spare', 6), 'spare'))).toEqual({ north: 2, south: 4 });
	});

	it('switch off what was not wanted of late, and leave on what was', () => {
		expect(planMoves([need('north', 6, 2, { retainedHosts: 6 })], hosts('north', 4), 'spare')).toEqual([]);
		expect(targets(planMoves([need('north', 6, 2)], hosts('north', 5), 'spare'))).toEqual({ spare: 4 });
		expect(planMoves([need('north', 6, 2)], hosts('north', 5), undefined)).toEqual([]);
	});

	it('give a lacking pool hosts that another one only keeps', () => {
		const moves = planMoves(
			[need('north', 6, 2, { retainedHosts: 6 }), need('south', 2, 4)],
			hosts('north', 4),
			'spare',
		);
		expect(targets(moves)).toEqual({ south: 2 });
	});

	it('leave a host out that does not fit the pool', () => {
		const idle = [...hosts('spare', 1, { fits: pool => pool !== 'north' }), ...hosts('south', 1)];
		const moves = planMoves([need('north', 0, 2), need('south', 3, 2)], idle, 'spare');
		expect(moves.map(({ host }) => host)).toEqual(['south-0']);
	});
});
