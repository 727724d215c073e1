import { z } from 'zod';
import type { PeerMethod } from './peerProtocol.js';

/** An IPv4 address and a port, as daemons listen on. */
const peerAddress = z.string().regex(/^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/);

const MAXIMUM_PORT = 65_535;

const socketAddress = peerAddress.refine(address => Number(address.split(':')[1]) <= MAXIMUM_PORT);

const identity = z.object({ term: z.number().int().min(1), entryHost: z.string().min(1), address: peerAddress });

const MAXIMUM_WAIT_MS = 30_000;

const topic = z.enum(['leader', 'members', 'journal', 'wave-status']);

const jobCall = z.object({ id: z.string().min(1), team: z.string().optional() });

const target = z.object({ worker: z.string(), address: socketAddress });

const workerCall = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('poll'),
		target,
		request: z.object({
			fencingToken: z.number(),
			acknowledged: z.number(),
			leaseUntilMs: z.number().optional(),
			waitMs: z.number().min(0).max(MAXIMUM_WAIT_MS),
		}),
	}),
	z.object({
		type: z.literal('start'),
		target,
		order: z.object({
			task: z.string(),
			run: z.number(),
			fencingToken: z.number(),
			payload: z.string(),
			startByMs: z.number(),
			checkpoint: z.string(),
			ticket: z.string().optional(),
		}),
	}),
]);

const queue = z.object({
	name: z.string(),
	host: z.string(),
	pathPrefix: z.string(),
	pool: z.string(),
	priority: z.number(),
	attempts: z.number(),
	objectiveFactor: z.number(),
	objectiveMs: z.number(),
	isOpen: z.boolean(),
});

const plan = z.object({
	version: z.number().int(),
	queues: z.array(queue),
	pools: z.array(z.object({ name: z.string(), isStandby: z.boolean() })),
	teams: z.array(
		z.object({
			name: z.string(),
			keys: z.array(z.string()),
			weight: z.number(),
			cap: z.object({ milliCores: z.number(), memoryMb: z.number(), accelerators: z.number() }),
		}),
	),
	limits: z.object({ bodyBytes: z.number() }),
});

/** The parts of the parameters that a handler relies on. The steps of a job are checked when it is submitted. */
const parameterSchemas: Readonly<Record<PeerMethod, z.ZodType>> = {
	'peer.hello': z.object({ entryHost: z.string().min(1) }),
	'leader.heard': z.object({}),
	'leader.alive': z.object({ leader: identity, planVersion: z.number(), isResigning: z.boolean() }),
	'job.submit': z.object({
		id: z.string().min(1),
		queue: z.string(),
		team: z.string().optional(),
		planVersion: z.number(),
		mayBeStored: z.boolean().optional(),
		leaderTerm: z.number().optional(),
		spec: z.object({ payload: z.string(), steps: z.array(z.unknown()).min(1), repeats: z.number() }),
	}),
	'job.cancel': jobCall,
	'job.state': jobCall,
	'queue.pending': z.object({ queue: z.string() }),
	'plan.get': z.object({}),
	'plan.offer': z.object({ plan }),
	'store.append': z.object({
		topic,
		records: z.array(z.string()),
		conditions: z.object({ at: z.number().optional(), writer: z.object({ name: z.string() }).loose().optional() }),
	}),
	'store.read': z.object({ topic, from: z.number().min(0), waitMs: z.number().min(0).max(MAXIMUM_WAIT_MS) }),
	'store.newest': z.object({ topic }),
	'feed.workers': z.object({ from: z.number().min(0).optional() }),
	'workers.call': z.object({ calls: z.array(z.tuple([z.number(), workerCall])), heardClockMs: z.number().optional() }),
	// Each outcome is checked when it is decoded.
	'workers.answered': z.object({ outcomes: z.array(z.unknown()) }),
	'store.reachable': z.object({}),
};

/** Returns a description of the first parameter that a handler could not use; `undefined` if there is none. */
export function findInvalidParameter(method: PeerMethod, parameters: unknown): string | undefined {
	const parsed = parameterSchemas[method].safeParse(parameters);
	if (parsed.success) {
		return undefined;
	}
	const [issue] = parsed.error.issues;
	return `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid value'}`;
}
