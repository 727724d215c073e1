import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { SeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { HostList } from '@chestnutwheel/platform/common/hostList.js';
import type { HostListClient } from '@chestnutwheel/platform/node/httpHostListClient.js';
import type { Logger } from 'pino';

/** What the task needs. */
export interface HostListTaskOptions {
	readonly client: HostListClient;
	readonly random: SeededRandom;
	readonly counters: Counters;
	readonly logger: Logger;
	/** The list is read only while this daemon leads a cell. */
	readonly isNeeded: () => boolean;
	readonly onList: (list: HostList) => void;
}

/** A leaving host must get no new work within 5 s of its listing. */
const READ_EVERY_MS = 1_000;
const IDLE_MS = 200;

/** Follows the host list until the signal is aborted. The last list stays in force while none can be read. */
export async function runHostListTask(options: HostListTaskOptions, signal: AbortSignal): Promise<void> {
	const { client, counters, logger, random } = options;
	let version: number | undefined;
	let isReadable = true;
	while (!signal.aborted) {
		if (!options.isNeeded()) {
			version = undefined;
			await delay(IDLE_MS, signal);
			continue;
		}
		try {
			const list = await client.read(version, signal);
			if (list !== undefined) {
				version = list.version;
				options.onList(list);
			}
			if (!isReadable) {
				logger.info('the host list is readable again');
			}
			isReadable = true;
		} catch {
			counters.add('host_list_reads_failed_total');
			if (isReadable) {
				logger.warn('the host list cannot be read; the last one stays in force');
			}
			isReadable = false;
		}
		await delay(READ_EVERY_MS * (0.9 + 0.2 * random.next()), signal);
	}
}
