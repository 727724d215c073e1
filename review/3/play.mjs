import { call, runCase, startDeployment, waitUntil } from '../shared/deployment.mjs';
import { describeRun, findDoubleRuns } from '../shared/rules.mjs';
import { sleep } from '../shared/storeStandIn.mjs';

const JOB = '00000000000000a1';
const TASKS = 1_400;
const OUTAGE_MS = 4_500;
/** The tasks take 4.4 to 4.8 s each. */
const TASK_TIMES_MS = [4_400, 4_600, 4_500, 4_800, 4_700];

await runCase(import.meta.url, async (record, hasTrouble) => {
	let isDown = false;
	const deployment = await startDeployment({
		record,
		daemonCount: 3,
		workerCount: 2,
		fault: () => (isDown ? 'busy' : undefined),
	});
	try {
		const { workers, daemons, starts, whenReady } = deployment;
		await whenReady();
		await sleep(3_000);
		const job = {
			spec: JSON.stringify({ ms: TASK_TIMES_MS }),
			pipeline: [{ count: TASKS, cpu: 40, 'mem-mb': 60, 'estimate-ms': 4_500 }],
		};
		const answer = await call(daemons[0], 'POST', JOB, job);
		record.write(`POST ${JOB}, ${TASKS} tasks: ${answer.status}`);
		if (answer.status !== 200) {
			throw new Error('the job was not accepted');
		}
		await waitUntil('all tasks have started', () => starts().length >= TASKS);
		record.write(`all tasks have started: ${workers.map(({ id, running }) => `${id} ${running.size}`).join(', ')}`);
		if (hasTrouble) {
			isDown = true;
			record.write(`the store is down (503 to all calls) for ${OUTAGE_MS} ms`);
			await sleep(OUTAGE_MS);
			isDown = false;
			record.write('the store is back');
		}
		await sleep(12_000);
		record.write(`GET ${JOB}: ${JSON.stringify((await call(daemons[1], 'GET', JOB)).body)}`);
		record.write(`${starts().length} starts of ${TASKS} tasks`);
		record.append(starts().map(describeRun));
		return findDoubleRuns(starts());
	} finally {
		await deployment.close();
	}
});
