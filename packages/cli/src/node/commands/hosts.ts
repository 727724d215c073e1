import type { HostStatus } from '@chestnutwheel/configuration/common/operatorProtocol.js';
import { textTable } from '../../common/textTable.js';
import { optionalArgument, type Command } from '../command.js';

/** Lists the hosts with what the leader of their cell sees. */
export const hosts: Command = {
	usage: '',
	description: 'List the hosts with their pool, place, state and load',
	options: {
		pool: { type: 'string', describe: 'Only hosts of this pool' },
		state: { type: 'string', describe: 'Only hosts in this state, such as set-aside' },
	},
	examples: [
		['hosts --pool rye', 'the hosts of one pool'],
		['hosts --state set-aside', 'hosts that get no work because they fail it'],
	],
	run: async (context, given) => {
		const client = context.client();
		const [fleet, { cells }] = await Promise.all([client.state(), client.status()]);
		const seen: Readonly<Record<string, HostStatus>> = Object.assign(
			{},
			...Object.values(cells).map(cell => cell.hosts),
		) as Record<string, HostStatus>;
		const poolName = optionalArgument(given, 'pool');
		const wanted = optionalArgument(given, 'state');
		const list = Object.values(fleet.hosts)
			.map(host => ({ ...host, status: seen[host.name] }))
			.filter(host => (poolName ?? host.pool) === host.pool && (wanted ?? host.status?.state) === host.status?.state)
			.sort((left, right) => (left.name < right.name ? -1 : 1));
		const rows = list.map(({ name, pool, dataCentre, rack, slots, status }) => [
			name,
			pool,
			dataCentre,
			rack,
			status?.state ?? 'not known',
			status?.running,
			slots,
			status?.reason ?? '',
		]);
		const head = ['HOST', 'POOL', 'DATA CENTRE', 'RACK', 'STATE', 'RUNNING', 'SLOTS', 'REASON'];
		return { data: { hosts: list }, text: textTable(head, rows, context.headStyle) };
	},
};
