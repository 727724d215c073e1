import { createDeskNote, type DeskShape } from './deskNote.js';
import { submitNote, waitUntilLed, waitUntilReady } from './fleetClient.js';
import { startLocalFleet, type LocalFleet, type LocalFleetOptions } from './localFleet.js';

/** The sample note has been accepted at this offset. */
export const FIRST_NOTE_OFFSET = 0;

/**
 * Starts a fleet, submits the sample note of the desks and waits until every daemon is ready and every cell has a leader.
 * @throws when the note is refused; the fleet has been stopped by then
 */
export async function startDeskFleet(desks: readonly DeskShape[], options: LocalFleetOptions): Promise<LocalFleet> {
	const fleet = await startLocalFleet(options);
	try {
		await submitDeskNote(desks, fleet);
		return fleet;
	} catch (error) {
		await fleet.stop();
		throw error;
	}
}

async function submitDeskNote(desks: readonly DeskShape[], fleet: LocalFleet): Promise<void> {
	const entryHosts = fleet.daemons.map(daemon => daemon.entryHost);
	const first = entryHosts[0]?.address ?? '';
	const answer = await submitNote(first, fleet.operatorKey, createDeskNote(desks, fleet.workers, entryHosts));
	if (answer.status !== 200) {
		throw new Error(`the sample note was refused: ${answer.body}`);
	}
	await Promise.all(entryHosts.map(entryHost => waitUntilReady(entryHost.address)));
	await waitUntilLed(first, fleet.operatorKey);
}
