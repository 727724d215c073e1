import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import type { SeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import type { ControlRecord } from '@chestnutwheel/configuration/common/controlRecord.js';
import { createWaveDriver } from '@chestnutwheel/maintenance/common/waveDriver.js';
import type { HostCommand, WaveEffect, WaveMessage } from '@chestnutwheel/maintenance/common/waveMessages.js';
import type { WorkerClient } from '@chestnutwheel/platform/common/workerClient.js';
import type { Logger } from 'pino';

/** Owns the wave driver of one cell: its timer, its commands to hosts and its records. */
export interface WaveTask {
	send(message: WaveMessage): void;
}

/** What the task needs. */
export interface WaveTaskOptions {
	readonly cell: string;
	readonly workers: WorkerClient;
	readonly clock: Clock;
	readonly random: SeededRandom;
	readonly counters: Counters;
	readonly logger: Logger;
	/** Appends to the control stream; rejects when it failed or its answer was lost. */
	readonly append: (record: ControlRecord) => Promise<unknown>;
	readonly drainedHosts: (hosts: readonly string[]) => void;
	readonly explain: (subject: string, reason: string, details: Readonly<Record<string, string | number>>) => void;
	/** Whether this daemon still leads; checked again right before a command to a host. */
	readonly isLeading: () => boolean;
}

type EffectHandlers = {
	readonly [Type in WaveEffect['type']]: (effect: Extract<WaveEffect, { type: Type }>) => void;
};

/** Record types whose append is a change of state worth a log line. */
const loggedRecords: ReadonlySet<ControlRecord['type']> = new Set([
	'wave-claim',
	'wave-stopped',
	'wave-resumed',
	'host-returned',
]);

/** Creates the task; its timer stops when the signal is aborted. */
export function createWaveTask(options: WaveTaskOptions, signal: AbortSignal): WaveTask {
	const { workers, clock, counters, logger } = options;
	const driver = createWaveDriver({ cell: options.cell, random: options.random });
	let timer: NodeJS.Timeout | undefined;

	const append = async (record: ControlRecord): Promise<void> => {
		try {
			await options.append(record);
			if (loggedRecords.has(record.type)) {
				logger.info({ record }, 'appended a wave record');
			}
		} catch {
			counters.add('wave_appends_failed_total', { type: record.type });
			send({ type: 'append-failed', recordType: record.type });
		}
	};

	const command = async (name: 'drain' | 'resume' | 'reboot', { host, address, boot }: HostCommand): Promise<void> => {
		if (!options.isLeading()) {
			return;
		}
		const requestedAt = clock.now();
		try {
			const answer = await workers[name](address, boot, signal);
			counters.add('host_commands_total', { command: name, answer: answer.type });
			if (answer.type === 'done') {
				const { status } = answer;
				const running = status.running.length;
				send({
					type: 'host-status',
					status: { host, reachable: true, boot: status.boot, running, draining: status.draining, requestedAt },
				});
			}
		} catch (error) {
			// The driver asks again until the host shows the wanted state.
			counters.add('host_commands_total', { command: name, answer: 'none' });
			logger.debug({ host, reason: errorMessageOf(error) }, 'the host did not take a command');
		}
	};

	const effectHandlers: EffectHandlers = {
		append: ({ record }) => void append(record),
		'stop-work-on': ({ hosts }) => options.drainedHosts(hosts),
		'drain-host': effect => void command('drain', effect),
		'reboot-host': effect => void command('reboot', effect),
		'resume-host': effect => void command('resume', effect),
		explained: ({ subject, reason, details }) => options.explain(subject, reason, details),
	};

	const schedule = (): void => {
		clearTimeout(timer);
		const at = driver.nextTickAt();
		if (at !== undefined && !signal.aborted) {
			timer = setTimeout(() => send({ type: 'tick' }), Math.max(1, Math.ceil(at - clock.now())));
		}
	};

	const send = (message: WaveMessage): void => {
		if (signal.aborted) {
			return;
		}
		for (const effect of driver.handle(message, clock.now())) {
			(effectHandlers[effect.type] as (effect: WaveEffect) => void)(effect);
		}
		schedule();
	};

	signal.addEventListener('abort', () => clearTimeout(timer));
	return { send };
}
