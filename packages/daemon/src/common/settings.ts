import { z } from 'zod';

const socketAddress = z
	.string()
	.regex(
		/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[0-9a-fA-F:]+\]:\d{1,5}$/,
		'allowed: an IP number and a port, as in 10.0.0.1:7100',
	);

const baseUrl = z
	.string()
	.regex(
		/^http:\/\/((\d{1,3}\.){3}\d{1,3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
		'allowed: http:// with an IP number and a port',
	);

const itemName = z
	.string()
	.regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'allowed: up to 63 lower-case letters, digits, dots and hyphens');

/** Schema of the daemon's settings file. */
export const settingsSchema = z.strictObject({
	entryHost: itemName,
	dataCentre: itemName,
	callerAddress: socketAddress,
	controlAddress: socketAddress,
	operatorKeySha256: z.string().regex(/^[0-9a-f]{64}$/, 'allowed: 64 lower-case hexadecimal digits'),
	peers: z.array(baseUrl).max(64, 'allowed: at most 64 addresses').default([]),
	platform: z.strictObject({
		log: baseUrl,
		hostList: baseUrl,
		logRetentionHours: z.number('allowed: a number from 1 to 8760').min(1).max(8_760).default(168),
	}),
	logLevel: z.enum(['debug', 'info', 'warn', 'error'], 'allowed: debug, info, warn or error').default('info'),
	balancerDelayMs: z.number('allowed: a number from 0 to 60000').int().min(0).max(60_000).default(2_000),
});

/** Checked settings of one daemon. */
export type Settings = z.output<typeof settingsSchema>;
