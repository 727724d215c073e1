// Runs every test, passes over exactly the failures that KNOWN-RED.txt lists, and prints the totals as the last line.
import { spawnSync } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const folder = mkdtempSync(join(tmpdir(), 'chestnutwheel-tests-'));
const reportFile = join(folder, 'report.json');
const run = spawnSync(
	process.execPath,
	[
		'node_modules/vitest/vitest.mjs',
		'run',
		'--reporter=default',
		'--reporter=json',
		`--outputFile.json=${reportFile}`,
		...process.argv.slice(2),
	],
	{ stdio: 'inherit' },
);

const report = existsSync(reportFile) ? JSON.parse(readFileSync(reportFile, 'utf8')) : undefined;
rmSync(folder, { recursive: true, force: true });

// Each line that starts with `test:` names one full test name, as vitest prints it.
const knownRedText = existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8') : '';
const knownRed = new Set([...knownRedText.matchAll(/^test:\s*(.+)$/gm)].map(match => match[1].trim()));
if (knownRed.size > 0) {
	console.log(`\nCases listed in KNOWN-RED.txt:\n${knownRedText.trim()}\n`);
}

if (report === undefined) {
	console.log('the test runner wrote no report');
	console.log('0 passed, 1 failed');
	process.exit(1);
}

const failures = report.testResults
	.flatMap(file => file.assertionResults)
	.filter(result => result.status === 'failed' && !knownRed.has(result.fullName));
const brokenFiles = report.testResults.filter(
	file => file.status === 'failed' && !file.assertionResults.some(result => result.status === 'failed'),
);
for (const file of brokenFiles) {
	console.log(`could not run ${file.name}: ${file.message}`);
}
const passedOver = report.numFailedTests - failures.length;
if (passedOver > 0) {
	console.log(`${passedOver} failing test(s) passed over, as listed in KNOWN-RED.txt`);
}
const failed = failures.length + brokenFiles.length;
const ranNothing = report.numPassedTests === 0;
console.log(`${report.numPassedTests} passed, ${failed} failed`);
// The runner's own status covers errors outside of any test, such as an unhandled rejection.
const hasOtherError = run.status !== 0 && failed === 0 && passedOver === 0;
process.exit(failed > 0 || ranNothing || hasOtherError ? 1 : 0);
