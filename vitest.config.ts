import { defineConfig } from 'vitest/config';

export default defineConfig({
	resolve: {
		alias: [
			{
				find: /^@chestnutwheel\/([a-z]+)\/(.*)\.js$/,
				replacement: new URL('packages/', import.meta.url).pathname + '$1/src/$2.ts',
			},
		],
	},
	test: {
		include: ['packages/*/src/test/**/*.test.ts'],
		testTimeout: 30_000,
		hookTimeout: 30_000,
	},
});
