import type { Clock } from '@chestnutwheel/base/common/clock.js';
import { serializeSnapshot } from '@chestnutwheel/configuration/common/snapshot.js';
import type { JobResponse } from '../../common/peerProtocol.js';
import type { BurnTask } from '../burn/burnTask.js';
import type { ControlState } from '../control/controlState.js';
import type { HeldGrants } from '../entry/heldGrants.js';
import type { CellLeaders } from '../leader/cellLeaders.js';
import type { Explanations } from '../leader/explanations.js';
import type { MembershipTask } from '../membership/membershipTask.js';
import type { Health } from '../operator/controlService.js';
import type { PeerHandlers } from './peerServer.js';

/** The tasks behind the methods. */
export interface PeerHandlersOptions {
	readonly self: string;
	readonly membership: MembershipTask;
	readonly leaders: CellLeaders;
	readonly held: HeldGrants;
	readonly control: ControlState;
	readonly explanations: Explanations;
	readonly burn: BurnTask;
	readonly health: () => Health;
	readonly clock: Clock;
}

const unknownCell: JobResponse = { ok: false, kind: 'no-leader', reason: 'this daemon knows no such cell' };

/** Records sent in one answer of `control.read`. */
const RECORDS_PER_ANSWER = 500;

/** Creates the table of methods that other daemons call. */
export function createPeerHandlers(options: PeerHandlersOptions): PeerHandlers {
	const { clock, control, explanations, held, leaders, membership } = options;
	return {
		'lease.request': parameters => membership.answer(parameters),
		'lease.release': parameters => {
			membership.release(parameters);
			return {};
		},
		'control.status': () => {
			const { entryHost, ready, view } = options.health();
			return { entryHost, ready, view };
		},
		'control.read': ({ from }) => ({ records: control.recordsFrom(from).slice(0, RECORDS_PER_ANSWER) }),
		'control.snapshot': () => {
			const state = control.current();
			return state.offset < 0 ? {} : { snapshot: serializeSnapshot(state) };
		},
		'work.request': parameters =>
			leaders.of(parameters.cell)?.request(parameters) ?? {
				state: 'refused',
				kind: 'no-leader',
				reason: 'this daemon knows no such cell',
			},
		'work.cancel': ({ cell, requestId, onlyOnce }) => {
			leaders.of(cell)?.cancel(requestId, onlyOnce);
			return {};
		},
		'work.finish': ({ cell, attempts }) => ({ acknowledged: leaders.of(cell)?.finish(attempts) ?? [] }),
		'work.held': ({ cell, term }) => ({ grants: held.report(cell, term) }),
		'job.submit': ({ cell, job, remainingMs }) =>
			leaders.of(cell)?.work.submit(job, clock.now() + remainingMs) ?? unknownCell,
		'job.get': ({ cell, team, jobId }) => leaders.of(cell)?.work.get(team, jobId) ?? unknownCell,
		'job.cancel': ({ cell, team, jobId }) => leaders.of(cell)?.work.cancel(team, jobId) ?? unknownCell,
		'operator.cell': ({ cell }) => leaders.of(cell)?.view() ?? { jobs: [] },
		'operator.explain': ({ subject }) => ({ entries: explanations.of(subject) }),
		'operator.burn': () => ({ part: options.burn.part() }),
	};
}
