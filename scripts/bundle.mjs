// Bundles the daemon for the users' platform into one file under target/, from the sources.
import { build } from 'esbuild';
import { existsSync } from 'node:fs';
import { join } from 'node:path';

const root = new URL('..', import.meta.url).pathname;

/** Packages of this workspace are taken from their sources instead of their compiled output. */
const workspaceSources = {
	name: 'workspace-sources',
	setup: bundle => {
		bundle.onResolve({ filter: /^@chestnutwheel\// }, ({ path }) => {
			const [, name, ...rest] = path.split('/');
			const file = join(root, 'packages', name, 'src', rest.join('/').replace(/\.js$/, '.ts'));
			return existsSync(file) ? { path: file } : { errors: [{ text: `there is no ${file}` }] };
		});
	},
};

await build({
	entryPoints: [join(root, 'platform/src/node/main.ts')],
	outfile: join(root, 'target/chestnutwheeld.bundle.cjs'),
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	// Without keepNames, which would define the name of every closure when it is made.
	minify: true,
	tsconfig: join(root, 'tsconfig.base.json'),
	plugins: [workspaceSources],
	// Parts of the libraries that are loaded only where they are installed.
	external: [
		'@nestjs/platform-express',
		'@nestjs/microservices',
		'@nestjs/microservices/*',
		'@nestjs/websockets',
		'@nestjs/websockets/*',
		'class-transformer',
		'class-transformer/*',
		'class-validator',
		'@fastify/static',
		'@fastify/view',
	],
	logLevel: 'warning',
});
