import { textTable } from '../../common/textTable.js';
import type { Command } from '../command.js';

/** Lists the pools with their hosts and budgets. */
export const pools: Command = {
	usage: '',
	description: 'List the pools with their hosts, slots, claimed hosts and budgets',
	examples: [['pools', 'all pools']],
	run: async context => {
		const state = await context.client().state();
		const claimed = new Set(
			Object.values(state.waves).flatMap(wave =>
				Object.keys(wave.hosts).filter(name => wave.hosts[name] === 'claimed'),
			),
		);
		const totals = new Map(Object.keys(state.pools).map(name => [name, { hosts: 0, slots: 0, claimed: 0 }]));
		for (const host of Object.values(state.hosts)) {
			const total = totals.get(host.pool);
			if (total !== undefined) {
				total.hosts++;
				total.slots += host.slots;
				total.claimed += claimed.has(host.name) ? 1 : 0;
			}
		}
		const list = Object.values(state.pools).map(pool => ({ ...pool, ...totals.get(pool.name) }));
		const rows = list.map(pool => [
			pool.name,
			pool.cell,
			pool.hosts,
			pool.slots,
			pool.claimed,
			pool.budget.maximumUnavailable,
			pool.budget.maximumUnavailablePerDataCentre,
			pool.spare ? 'yes' : 'no',
		]);
		const head = ['POOL', 'CELL', 'HOSTS', 'SLOTS', 'CLAIMED', 'BUDGET', 'BUDGET/DC', 'SPARE'];
		return { data: { pools: list }, text: textTable(head, rows, context.headStyle) };
	},
};
