import { nameSchema } from '@chestnutwheel/configuration/common/releaseNoteSchema.js';
import { z } from 'zod';

/** Whether a text is an IP number, with brackets around one of version 6, and a port. */
function isSocketAddress(text: string): boolean {
	const found = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text);
	if (found === null) {
		return false;
	}
	const [, version6, version4, port] = found;
	const isNumber = version6 === undefined ? z.ipv4().safeParse(version4).success : z.ipv6().safeParse(version6).success;
	return isNumber && Number(port) <= 65_535;
}

const socketAddress = z
	.string('allowed: an IP number and a port')
	.refine(isSocketAddress, 'allowed: an IP number and a port up to 65535, as in 10.0.0.1:7100');

const HTTP_PREFIX = 'http://';

const baseUrl = z
	.string('allowed: http:// with an IP number and a port')
	.refine(
		text => text.startsWith(HTTP_PREFIX) && isSocketAddress(text.slice(HTTP_PREFIX.length)),
		'allowed: http:// with an IP number and a port up to 65535',
	);

// The same rule as in release notes, which name the entry hosts.
const nameRule = 'allowed: a letter, then up to 62 letters, digits, dots, underscores or hyphens';
const itemName = z.string(nameRule).refine(name => nameSchema.safeParse(name).success, nameRule);

const HASH_RULE = 'allowed: 64 lower-case hexadecimal digits';
const RETENTION_RULE = 'allowed: a number from 1 to 8760';
const DELAY_RULE = 'allowed: a whole number from 0 to 60000';

/** Schema of the daemon's settings file. */
export const settingsSchema = z.strictObject({
	entryHost: itemName,
	dataCentre: itemName,
	callerAddress: socketAddress,
	controlAddress: socketAddress,
	operatorKeySha256: z.string(HASH_RULE).regex(/^[0-9a-f]{64}$/, HASH_RULE),
	peers: z.array(baseUrl).max(64, 'allowed: at most 64 addresses').default([]),
	platform: z.strictObject({
		log: baseUrl,
		hostList: baseUrl,
		logRetentionHours: z.number(RETENTION_RULE).min(1, RETENTION_RULE).max(8_760, RETENTION_RULE).default(168),
	}),
	logLevel: z.enum(['debug', 'info', 'warn', 'error'], 'allowed: debug, info, warn or error').default('info'),
	balancerDelayMs: z.number(DELAY_RULE).int(DELAY_RULE).min(0, DELAY_RULE).max(60_000, DELAY_RULE).default(2_000),
});

/** Checked settings of one daemon. */
export type Settings = z.output<typeof settingsSchema>;
