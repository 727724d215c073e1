import { defineConfig } from 'vitest/config';

const alias = [
	{
		find: /^@chestnutwheel\/([a-z]+)\/(.*)\.js$/,
		replacement: new URL('packages/', import.meta.url).pathname + '$1/src/$2.ts',
	},
];

export default defineConfig({
	test: {
		projects: [
			{
				resolve: { alias },
				test: {
					name: 'units',
					include: ['packages/*/src/test/**/*.test.ts'],
					exclude: ['packages/tools/src/test/**', '**/node_modules/**'],
					testTimeout: 60_000,
					hookTimeout: 60_000,
					sequence: { groupOrder: 0 },
				},
			},
			{
				// These start daemons and stand-ins as processes. They run after the units and few at a time, since a
				// leader lease of 1.5 s cannot be renewed on a machine without free processors.
				resolve: { alias },
				test: {
					name: 'processes',
					include: ['packages/tools/src/test/**/*.test.ts', 'platform/src/test/**/*.test.ts'],
					testTimeout: 90_000,
					hookTimeout: 60_000,
					maxWorkers: 3,
					sequence: { groupOrder: 1 },
				},
			},
		],
	},
});
