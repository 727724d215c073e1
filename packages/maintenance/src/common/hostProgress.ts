import type { HostStatus } from './waveMessages.js';

/** What a claimed host needs next. */
export type HostStep = 'wait' | 'drain' | 'reboot' | 'resume' | 'record-return';

/** Where one claimed host stands, as the leader knows it. */
export interface HostProgress {
	/** The wave stops when the host has not returned by then. */
	deadlineAt: number;
	/** Boot that reported the drain; any other boot is a reboot during the claim. */
	drainedBoot: string | undefined;
	/** Step of the last command, and when it may be repeated. */
	step: HostStep;
	repeatAt: number;
	/** The host is back and only its record is missing. */
	isBack: boolean;
}

/** Time after which a command is sent again when the host's status does not show its effect. */
export const repeatAfterMs: Readonly<Record<HostStep, number>> = {
	wait: Number.POSITIVE_INFINITY,
	drain: 5_000,
	// A host that shuts down answers with its old boot for a while.
	reboot: 60_000,
	resume: 5_000,
	'record-return': 0,
};

/** Starts to follow a claimed host. */
export function createHostProgress(deadlineAt: number): HostProgress {
	return { deadlineAt, drainedBoot: undefined, step: 'wait', repeatAt: 0, isBack: false };
}

/**
 * The next step of a claimed host. A leader that took over does not know the boot of before the claim, so a host that
 * reports no drain is drained and rebooted, even if the leader before has done so.
 * @param answer the host's recent answer; `undefined` while it does not answer
 */
export function nextHostStep(progress: HostProgress, answer: HostStatus | undefined, listedLive: boolean): HostStep {
	if (answer === undefined) {
		return 'wait';
	}
	if (progress.drainedBoot !== undefined && answer.boot !== progress.drainedBoot) {
		if (answer.draining) {
			return 'resume';
		}
		return listedLive ? 'record-return' : 'wait';
	}
	if (!answer.draining) {
		return 'drain';
	}
	return answer.running === 0 ? 'reboot' : 'wait';
}
