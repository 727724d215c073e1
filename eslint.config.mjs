import eslint from '@eslint/js';
import { defineConfig } from 'eslint/config';
import tseslint from 'typescript-eslint';

// The packages that each package may import. docs/design.md, section 3, draws the same graph.
const allowedImports = {
	base: [],
	ports: ['base'],
	platform: ['base'],
	configuration: ['base'],
	membership: ['base', 'configuration'],
	work: ['base', 'configuration'],
	dispatch: ['base', 'configuration', 'platform'],
	maintenance: ['base', 'configuration', 'platform'],
	burn: ['base', 'configuration'],
	engine: ['base', 'ports'],
	coordinator: ['base', 'ports', 'engine'],
	daemon: ['base', 'platform', 'configuration', 'membership', 'work', 'dispatch', 'maintenance', 'burn'],
	cli: ['base', 'platform', 'configuration', 'burn'],
	standins: ['base', 'platform'],
};

const packageNames = [...Object.keys(allowedImports), 'tools'];

// The folder of the users' platform is the only one that knows its wire format.
const adapterImports = ['base', 'ports', 'platform', 'engine', 'coordinator'];

const layerRules = Object.entries(allowedImports).map(([name, allowed]) => ({
	files: [`packages/${name}/src/**/*.ts`],
	rules: {
		'no-restricted-imports': [
			'error',
			{
				patterns: packageNames
					.filter(other => !allowed.includes(other))
					.map(other => ({
						group: [`@chestnutwheel/${other}/*`],
						message: `${name} may not import ${other}; see docs/design.md, section 3.`,
					})),
			},
		],
	},
}));

const adapterRules = {
	files: ['platform/src/**/*.ts'],
	rules: {
		'no-restricted-imports': [
			'error',
			{
				patterns: packageNames
					.filter(name => !adapterImports.includes(name))
					.map(name => ({
						group: [`@chestnutwheel/${name}/*`],
						message: `platform/ may not import ${name}; see docs/design.md, section 6.6.`,
					})),
			},
		],
	},
};

// Names of the users' wire format; see docs/design.md, section 6.6.
const wireNames =
	'run-start|run-stop|log-append|log-read|log-newest|ack-index|machine-upkeep|machine-move|X-Chestnutwheel|CHESTNUTWHEEL_BOOT';
const wireNameRules = {
	files: ['packages/*/src/**/*.ts'],
	rules: {
		'no-restricted-syntax': [
			'error',
			...[`Literal[value=/${wireNames}/i]`, `TemplateElement[value.raw=/${wireNames}/i]`].map(selector => ({
				selector,
				message: 'Names of the wire format of the users stand in platform/ only.',
			})),
			{
				selector: 'ImportDeclaration[source.value=/(^|\\u002F)platform\\u002Fsrc\\u002F/]',
				message: 'Packages do not import platform/.',
			},
		],
	},
};

// Decision code must run without Node, so that it can be replayed with a stepped clock.
const commonFolderRules = {
	files: ['packages/*/src/common/**/*.ts', 'platform/src/common/**/*.ts'],
	rules: {
		'no-restricted-globals': ['error', 'process', 'setTimeout', 'setInterval', 'setImmediate', 'fetch', 'performance'],
		'no-restricted-properties': [
			'error',
			{ object: 'Date', property: 'now', message: 'Take the time as a parameter.' },
			{ object: 'Math', property: 'random', message: 'Take a seeded generator as a parameter.' },
		],
	},
};

export default defineConfig(
	{
		ignores: ['target/**', 'journal/**', '**/out/**', '**/node_modules/**', 'scripts/**', '*.mjs', 'vitest.config.ts'],
	},
	{
		files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
		extends: [eslint.configs.recommended, tseslint.configs.strictTypeChecked, tseslint.configs.stylisticTypeChecked],
		languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
		rules: {
			curly: ['error', 'all'],
			eqeqeq: 'error',
			'max-lines': ['error', { max: 400 }],
			'@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true, allowBoolean: true }],
			'@typescript-eslint/no-confusing-void-expression': ['error', { ignoreArrowShorthand: true }],
		},
	},
	...layerRules,
	adapterRules,
	wireNameRules,
	commonFolderRules,
	{
		// Nest modules are empty decorated classes, and its option literals hold class values.
		files: ['packages/daemon/src/node/edges/**/*.ts', 'platform/src/node/edgeServer.ts'],
		rules: {
			'@typescript-eslint/no-extraneous-class': ['error', { allowWithDecorator: true }],
			'@typescript-eslint/no-unsafe-class-instance-assignment': 'off',
		},
	},
);
