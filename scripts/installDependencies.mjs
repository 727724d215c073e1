// Installs the locked dependencies when node_modules is missing or older than the lock file.
import { execFileSync } from 'node:child_process';
import { existsSync, statSync } from 'node:fs';

const marker = 'node_modules/.package-lock.json';
const isCurrent = existsSync(marker) && statSync(marker).mtimeMs >= statSync('package-lock.json').mtimeMs;
if (!isCurrent) {
	execFileSync('npm', ['ci', '--prefer-offline', '--no-audit', '--no-fund'], { stdio: 'inherit' });
}
