import { budgetExcess, claimedMoveProblem, excessText, unavailableHosts } from './budgetRules.js';
import type { ControlRecord, WaveRequest } from './controlRecord.js';
import type { FleetDraft } from './fleetDraft.js';
import type { Wave } from './fleetState.js';
import { changeWave, waveHostsOf } from './waveHosts.js';

/** Time that a claimed host has for its return when the note does not say. */
const DEFAULT_RETURN_WITHIN_MS = 600_000;

/** Ended waves kept for display; the oldest are dropped when a wave is added. */
const MAXIMUM_ENDED_WAVES = 200;

/** Move identifiers remembered to recognise a second copy. */
const MAXIMUM_MOVE_IDS = 1_000;

type RecordOf<Type extends ControlRecord['type']> = Extract<ControlRecord, { readonly type: Type }>;

/** Applies one record to the draft. @returns why the record is refused */
export type RecordRule<Type extends ControlRecord['type']> = (
	draft: FleetDraft,
	record: RecordOf<Type>,
) => string | undefined;

/** Tells whether no host of the wave is out and none will be claimed any more. */
export function isEnded(wave: Wave): boolean {
	return wave.state === 'finished' || (wave.state === 'withdrawn' && waveHostsOf(wave).counts.claimed === 0);
}

/** The same wave as finished when all of its hosts have returned. */
function finishWhenDone(draft: FleetDraft, wave: Wave): void {
	const { waiting, claimed } = waveHostsOf(wave).counts;
	if (waiting + claimed === 0 && wave.state !== 'withdrawn') {
		draft.putItem('waves', wave.name, changeWave(wave, { state: 'finished', reason: undefined }));
	}
}

/** Adds a wave and fixes its hosts. */
export function addWave(draft: FleetDraft, request: WaveRequest): string | undefined {
	const known = draft.items('waves')[request.name];
	if (known !== undefined && !isEnded(known)) {
		return `wave ${request.name} has not ended`;
	}
	const pools = request.pools ?? [];
	const unknownPool = pools.find(pool => draft.items('pools')[pool] === undefined);
	if (unknownPool !== undefined) {
		return `wave ${request.name} names the unknown pool ${unknownPool}`;
	}
	const unknownHost = request.hosts?.find(host => draft.host(host) === undefined);
	if (unknownHost !== undefined) {
		return `wave ${request.name} names the unknown host ${unknownHost}`;
	}
	const names = new Set([...pools.flatMap(pool => [...draft.members(pool)]), ...(request.hosts ?? [])]);
	if (names.size === 0) {
		return `wave ${request.name} has no hosts`;
	}
	// The order of insertion is the age of a wave, so a wave that takes the name of an ended one goes to the end.
	draft.removeItem('waves', request.name);
	draft.putItem('waves', request.name, {
		name: request.name,
		pools,
		hosts: Object.fromEntries([...names].sort().map(host => [host, 'waiting'])),
		state: 'running',
		returnWithinMs: request.returnWithinMs ?? DEFAULT_RETURN_WITHIN_MS,
	});
	const ended = Object.values(draft.items('waves')).filter(isEnded);
	for (const wave of ended.slice(0, Math.max(0, ended.length - MAXIMUM_ENDED_WAVES))) {
		draft.removeItem('waves', wave.name);
	}
	return undefined;
}

/** Resumes a stopped wave. Its pools and hosts are fixed, so a note may only repeat them. */
export function resumeWave(draft: FleetDraft, request: WaveRequest): string | undefined {
	const wave = draft.items('waves')[request.name];
	if (wave === undefined) {
		return `wave ${request.name} does not exist`;
	}
	if (wave.state !== 'stopped') {
		return `wave ${request.name} is ${wave.state}; only a stopped wave can be resumed`;
	}
	const otherPool = request.pools?.find(pool => !wave.pools.includes(pool));
	const otherHost = request.hosts?.find(host => !waveHostsOf(wave).table.has(host));
	if (otherPool !== undefined || otherHost !== undefined) {
		return `the hosts of wave ${request.name} are fixed; ${otherPool ?? otherHost ?? ''} is not part of it`;
	}
	const returnWithinMs = request.returnWithinMs ?? wave.returnWithinMs;
	draft.putItem('waves', wave.name, changeWave(wave, { state: 'running', reason: undefined, returnWithinMs }));
	return undefined;
}

/** Withdraws a wave: it makes no new claims, and its claimed hosts finish. */
export function withdrawWave(draft: FleetDraft, name: string): string | undefined {
	const wave = draft.items('waves')[name];
	if (wave === undefined) {
		return `wave ${name} does not exist`;
	}
	if (wave.state !== 'running' && wave.state !== 'stopped') {
		return `wave ${name} is already ${wave.state}`;
	}
	draft.putItem('waves', name, changeWave(wave, { state: 'withdrawn' }));
	return undefined;
}

/** Takes withdrawn hosts out of the waves that have not ended. */
export function leaveWaves(draft: FleetDraft, hosts: readonly string[]): void {
	for (const wave of Object.values(draft.items('waves')).filter(candidate => !isEnded(candidate))) {
		const leaving = hosts.filter(host => waveHostsOf(wave).table.has(host));
		let next = wave;
		for (const host of leaving) {
			next = draft.setWaveHost(next, host, undefined);
		}
		if (leaving.length > 0) {
			finishWhenDone(draft, next);
		}
	}
}

/** Accepts a claim only while the budget of the host's pool holds at this offset. */
export const claimHost: RecordRule<'wave-claim'> = (draft, record) => {
	const wave = draft.items('waves')[record.wave];
	if (wave === undefined) {
		return `wave ${record.wave} does not exist`;
	}
	if (wave.state !== 'running') {
		return `wave ${wave.name} is ${wave.state}`;
	}
	const hostState = waveHostsOf(wave).table.get(record.host);
	if (hostState !== 'waiting') {
		return `host ${record.host} is ${hostState ?? 'not part'} in wave ${wave.name}`;
	}
	const otherWave = draft.claim(record.host);
	if (otherWave !== undefined) {
		return `host ${record.host} is claimed by wave ${otherWave}`;
	}
	const host = draft.host(record.host);
	const pool = host === undefined ? undefined : draft.items('pools')[host.pool];
	if (host === undefined || pool === undefined) {
		return `host ${record.host} does not exist`;
	}
	draft.setWaveHost(wave, host.name, 'claimed');
	const excess = budgetExcess(pool, unavailableHosts(draft, pool.name, new Set(record.unavailable)));
	return excess === undefined ? undefined : excessText(pool.name, excess);
};

/** Records that a claimed host is back; the wave is finished with its last host. */
export const returnHost: RecordRule<'host-returned'> = (draft, record) => {
	const wave = draft.items('waves')[record.wave];
	if (wave === undefined || waveHostsOf(wave).table.get(record.host) !== 'claimed') {
		return `host ${record.host} is not claimed by wave ${record.wave}`;
	}
	finishWhenDone(draft, draft.setWaveHost(wave, record.host, 'returned'));
	return undefined;
};

/** Stops a running wave with the reason. */
export const stopWave: RecordRule<'wave-stopped'> = (draft, record) => {
	const wave = draft.items('waves')[record.wave];
	if (wave?.state !== 'running') {
		return `wave ${record.wave} is ${wave?.state ?? 'unknown'}`;
	}
	draft.putItem('waves', wave.name, changeWave(wave, { state: 'stopped', reason: record.reason }));
	return undefined;
};

/** Resumes a stopped wave because the cause of the stop is gone. */
export const resumeStoppedWave: RecordRule<'wave-resumed'> = (draft, record) => {
	const wave = draft.items('waves')[record.wave];
	if (wave?.state !== 'stopped') {
		return `wave ${record.wave} is ${wave?.state ?? 'unknown'}`;
	}
	draft.putItem('waves', wave.name, changeWave(wave, { state: 'running', reason: undefined }));
	return undefined;
};

/** Moves a host within its cell. */
export const moveHost: RecordRule<'host-moved'> = (draft, record) => {
	const moveIds = draft.before.fields.recentMoveIds ?? [];
	if (moveIds.includes(record.moveId)) {
		return `move ${record.moveId} was already applied`;
	}
	const host = draft.host(record.host);
	if (host === undefined) {
		return `host ${record.host} does not exist`;
	}
	if (host.pool !== record.from) {
		return `host ${host.name} is in pool ${host.pool}, not in ${record.from}`;
	}
	const from = draft.items('pools')[record.from];
	const to = draft.items('pools')[record.to];
	if (to === undefined) {
		return `pool ${record.to} does not exist`;
	}
	if (to.name === host.pool) {
		return `host ${host.name} is already in pool ${to.name}`;
	}
	if (from?.cell !== to.cell) {
		return `pool ${to.name} is in another cell; only a note moves a host between cells`;
	}
	draft.putHost({ ...host, pool: to.name });
	draft.setFields({ recentMoveIds: [...moveIds.slice(1 - MAXIMUM_MOVE_IDS), record.moveId] });
	return draft.claim(host.name) === undefined ? undefined : claimedMoveProblem(draft, new Set([to.name]));
};

/** Counts the acknowledgements of a change of entry hosts until a majority of the previous set has given one. */
export const acknowledgeEntrySet: RecordRule<'entry-acknowledged'> = (draft, record) => {
	const { entryHosts, entrySetOffset, previousEntryHosts, acknowledgedBy } = draft.before.fields;
	if (record.entrySetOffset !== entrySetOffset) {
		return `the set of entry hosts is that of offset ${entrySetOffset}, not of ${record.entrySetOffset}`;
	}
	if (entryHosts[record.entryHost] === undefined && previousEntryHosts?.[record.entryHost] === undefined) {
		return `${record.entryHost} is not an entry host`;
	}
	if (acknowledgedBy.includes(record.entryHost)) {
		return `${record.entryHost} has already acknowledged`;
	}
	const nextAcknowledged = [...acknowledgedBy, record.entryHost];
	const previousNames = Object.keys(previousEntryHosts ?? {});
	const acknowledgedCount = previousNames.filter(name => nextAcknowledged.includes(name)).length;
	draft.setFields({
		acknowledgedBy: nextAcknowledged,
		previousEntryHosts: acknowledgedCount * 2 > previousNames.length ? undefined : previousEntryHosts,
	});
	return undefined;
};
