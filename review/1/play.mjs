import { call, CLIENT_DEADLINE_MS, runCase, startDeployment, waitUntil } from '../shared/deployment.mjs';
import { describeRun } from '../shared/rules.mjs';
import { journalEvents, sleep } from '../shared/storeStandIn.mjs';

const JOB = '00000000000000c3';
const OUTAGE_MS = 4_500;

await runCase(import.meta.url, async (record, hasTrouble) => {
	let leader;
	let isJournalDown = false;
	const deployment = await startDeployment({
		record,
		daemonCount: 3,
		workerCount: 2,
		fault: ({ topic }) => (isJournalDown && topic === 'journal' ? 'busy' : undefined),
		onStored: (topic, records) => {
			const isAcceptance = ({ type, job }) => type === 'accepted' && job.id === JOB;
			if (!hasTrouble || isJournalDown || !journalEvents(topic, records).some(isAcceptance)) {
				return;
			}
			leader.child.kill('SIGKILL');
			isJournalDown = true;
			record.write(`the store has stored the job; ${leader.name}, which leads, is killed`);
			record.write(`the store is down in part: 503 to all calls for the partition of the journal, for ${OUTAGE_MS} ms`);
			setTimeout(() => {
				isJournalDown = false;
				record.write('the store is back');
			}, OUTAGE_MS);
		},
	});
	try {
		const { daemons, starts, whenReady } = deployment;
		leader = await whenReady();
		await sleep(3_000);
		const others = daemons.filter(daemon => daemon !== leader);
		const job = {
			spec: JSON.stringify({ ms: 500 }),
			pipeline: [{ count: 3, cpu: 500, 'mem-mb': 100, 'estimate-ms': 500 }],
		};
		// A client hands the job in, and again at the time that it is told, until its deadline has passed.
		const statuses = [];
		const until = record.now() + CLIENT_DEADLINE_MS;
		for (let attempt = 0; record.now() < until; attempt++) {
			const daemon = others[attempt % others.length];
			const { status, retryAfter, body } = await call(daemon, 'POST', JOB, job, until - record.now());
			statuses.push(status);
			record.write(`POST ${JOB} to ${daemon.name}: ${status} ${JSON.stringify(body)} retry-after ${retryAfter}`);
			if (status !== 429 && status !== 503) {
				break;
			}
			await sleep(1_000 * Number(retryAfter ?? 1));
		}
		await waitUntil('the store serves all partitions', () => !isJournalDown);
		await sleep(8_000);
		const state = await call(others[0], 'GET', JOB);
		record.write(`GET ${JOB}: ${state.status} ${JSON.stringify(state.body)}`);
		const ofJob = starts().filter(({ task }) => task.startsWith(JOB));
		ofJob.forEach(entry => record.write(describeRun(entry)));
		const wereAllRejected = statuses.every(status => status === 429 || status === 503);
		return wereAllRejected
			? ofJob.map(
					({ task, startedAt }) => `REFUSED: task ${task} started at ${startedAt} ms, all attempts were rejected`,
				)
			: [];
	} finally {
		await deployment.close();
	}
});
