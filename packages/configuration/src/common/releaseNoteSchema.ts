import { z } from 'zod';
import type { ReleaseNote } from './controlRecord.js';

/** One thing that is wrong with a value, for people. */
export interface NoteProblem {
	/** Where, such as `added.hosts[2].slots`; empty for the whole value. */
	readonly path: string;
	/** What stands there. */
	readonly found: string;
	/** What may stand there. */
	readonly allowed: string;
}

/** The note, or everything that is wrong with it. */
export type ParsedNote =
	| { readonly note: ReleaseNote; readonly problems?: undefined }
	| { readonly note?: undefined; readonly problems: readonly NoteProblem[] };

/** Most items of one kind in one note. The first note of the largest fleet names 20,000 hosts. */
const MAXIMUM_ITEMS = 25_000;

const nameRule = 'a letter, then up to 62 letters, digits, dots, underscores or hyphens';

/**
 * A name starts with a letter because plain records sort keys that look like whole numbers first, and is not the name
 * of a property of every object, so that a lookup in a plain record finds only what was put there.
 */
export const nameSchema = z
	.string()
	.regex(/^[A-Za-z][A-Za-z0-9._-]{0,62}$/, nameRule)
	.refine(name => !(name in Object.prototype), `${nameRule}, and not a reserved word`);

const identifierRule = 'a letter or digit, then up to 99 letters, digits, dots, underscores, colons or hyphens';

/** Identifier of a note, a claim or a move. */
export const identifierSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._:-]{0,99}$/, identifierRule);

const addressRule = 'http://IP:port, with an IPv4 address or an IPv6 address in brackets';

const addressSchema = z.string().refine(address => {
	const found = /^http:\/\/(?:\[([0-9A-Fa-f:.]+)\]|([0-9.]+)):(\d{1,5})$/.exec(address);
	if (found === null) {
		return false;
	}
	const [, ipv6, ipv4, port] = found;
	const known = ipv6 === undefined ? z.ipv4().safeParse(ipv4).success : z.ipv6().safeParse(ipv6).success;
	return known && Number(port) >= 1 && Number(port) <= 65_535;
}, addressRule);

const countSchema = z.int().min(0).max(1_000_000);

/** Schema of a pool. */
export const poolSchema = z.strictObject({
	name: nameSchema,
	cell: nameSchema,
	budget: z.strictObject({
		maximumUnavailable: countSchema,
		maximumUnavailablePerDataCentre: countSchema.optional(),
	}),
	spare: z.boolean(),
});

/** Schema of a worker host. */
export const hostSchema = z.strictObject({
	name: nameSchema,
	pool: nameSchema,
	address: addressSchema,
	dataCentre: nameSchema,
	rack: nameSchema,
	slots: z.int().min(1).max(1_000),
	connections: z.int().min(1).max(65_535),
});

/** Schema of a queue. */
export const queueSchema = z.strictObject({
	name: nameSchema,
	pools: z.array(nameSchema).min(1).max(100),
	open: z.boolean(),
	maximumWaiting: z.int().min(0).max(1_000_000),
	objective: z
		.strictObject({ latencyMs: z.number().positive().max(86_400_000), target: z.number().gt(0).lt(1) })
		.optional(),
});

/** Schema of a team. */
export const teamSchema = z.strictObject({
	name: nameSchema,
	organisation: nameSchema,
	share: z.number().positive().max(1_000_000),
	limit: countSchema,
	queues: z.array(nameSchema).max(1_000),
});

/** Schema of a key. */
export const keySchema = z.strictObject({
	id: nameSchema,
	team: nameSchema,
	sha256: z.string().regex(/^[0-9a-f]{64}$/, 'the SHA-256 of the key as 64 lower-case hexadecimal digits'),
});

/** Schema of an entry host. */
export const entryHostSchema = z.strictObject({ name: nameSchema, address: addressSchema, dataCentre: nameSchema });

/** Time that a claimed host has for its return, in milliseconds: 1 s to 7 days. */
export const returnWithinSchema = z.int().min(1_000).max(604_800_000);

const resumedWaveSchema = z.strictObject({
	name: nameSchema,
	pools: z.array(nameSchema).max(MAXIMUM_ITEMS).optional(),
	hosts: z.array(nameSchema).max(MAXIMUM_ITEMS).optional(),
	returnWithinMs: returnWithinSchema.optional(),
});

const addedWaveSchema = resumedWaveSchema.refine(
	wave => (wave.pools?.length ?? 0) + (wave.hosts?.length ?? 0) > 0,
	'at least one name in pools or hosts',
);

const listOf = <Item extends z.ZodType>(item: Item) => z.array(item).max(MAXIMUM_ITEMS).optional();

const itemLists = {
	pools: listOf(poolSchema),
	hosts: listOf(hostSchema),
	queues: listOf(queueSchema),
	teams: listOf(teamSchema),
	keys: listOf(keySchema),
	entryHosts: listOf(entryHostSchema),
};

const nameList = listOf(nameSchema);

/** Schema of a whole release note. */
export const releaseNoteSchema = z.strictObject({
	id: identifierSchema,
	author: z.string().min(1).max(200),
	writtenAgainst: z.int().min(-1),
	comment: z.string().max(4_000).optional(),
	added: z.strictObject({ ...itemLists, waves: listOf(addedWaveSchema) }).optional(),
	changed: z.strictObject({ ...itemLists, waves: listOf(resumedWaveSchema) }).optional(),
	withdrawn: z
		.strictObject({
			pools: nameList,
			hosts: nameList,
			queues: nameList,
			teams: nameList,
			keys: nameList,
			entryHosts: nameList,
			waves: nameList,
		})
		.optional(),
});

/** Checks the form of a note; whether the fleet allows it is for the fold to say. */
export function parseReleaseNote(value: unknown): ParsedNote {
	const parsed = releaseNoteSchema.safeParse(value);
	if (parsed.success) {
		return { note: parsed.data };
	}
	return { problems: parsed.error.issues.map(issue => describeIssue(issue, value)) };
}

/** One problem as a line of text. */
export function problemText(problem: NoteProblem): string {
	return `${problem.path === '' ? 'the whole note' : problem.path}: found ${problem.found}, allowed: ${problem.allowed}`;
}

function describeIssue(issue: z.core.$ZodIssue, value: unknown): NoteProblem {
	const unknownKey = issue.code === 'unrecognized_keys' ? issue.keys[0] : undefined;
	const keys = unknownKey === undefined ? issue.path : [...issue.path, unknownKey];
	return {
		path: keys.reduce<string>(
			(path, key) =>
				typeof key === 'number' ? `${path}[${key}]` : path === '' ? String(key) : `${path}.${String(key)}`,
			'',
		),
		found: unknownKey === undefined ? foundText(valueAt(value, keys)) : 'a key that is not known',
		allowed: allowedText(issue),
	};
}

function allowedText(issue: z.core.$ZodIssue): string {
	return issue.code === 'unrecognized_keys' ? 'only the keys on the reference page' : issue.message;
}

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
	return path.reduce<unknown>(
		(current, key) =>
			typeof current === 'object' && current !== null ? (current as Record<PropertyKey, unknown>)[key] : undefined,
		value,
	);
}

function foundText(value: unknown): string {
	if (value === undefined) {
		return 'nothing';
	}
	const text = JSON.stringify(value);
	return text.length > 80 ? `${text.slice(0, 77)}...` : text;
}
