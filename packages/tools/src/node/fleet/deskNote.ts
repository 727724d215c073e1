import { createHash } from 'node:crypto';
import type { ReleaseNote } from '@chestnutwheel/configuration/common/controlRecord.js';
import type { EntryHost, Host, Pool, Queue, Team, TeamKey } from '@chestnutwheel/configuration/common/fleetState.js';
import type { LocalWorker } from './localFleet.js';

/** Shape of one desk: five services, of which the last is the spare pool, and six organisations. */
export interface DeskShape {
	readonly cell: string;
	/** Names of the services; each is a pool and a queue. */
	readonly services: readonly string[];
	readonly organisations: readonly DeskOrganisation[];
}

/** One organisation with a single team. */
export interface DeskOrganisation {
	readonly name: string;
	readonly share: number;
	readonly limit: number;
}

/** The desk of the rival drafting agencies. */
export const speechwritingDesk: DeskShape = {
	cell: 'speechwriting',
	services: ['draft-north', 'draft-south', 'draft-east', 'draft-west', 'utility'],
	organisations: [
		{ name: 'agency-north', share: 6, limit: 120 },
		{ name: 'agency-south', share: 5, limit: 100 },
		{ name: 'agency-east', share: 2, limit: 40 },
		{ name: 'agency-west', share: 2, limit: 40 },
		{ name: 'governors', share: 1, limit: 16 },
		{ name: 'universities', share: 1, limit: 16 },
	],
};

/** The desk of the spot malting barley traders. */
export const barleyDesk: DeskShape = {
	cell: 'barley',
	services: ['pricing', 'matching', 'logistics', 'contracts', 'administration'],
	organisations: [
		{ name: 'maltsters', share: 6, limit: 120 },
		{ name: 'brewers', share: 4, limit: 80 },
		{ name: 'elevators', share: 3, limit: 60 },
		{ name: 'railways', share: 2, limit: 40 },
		{ name: 'laboratories', share: 1, limit: 16 },
		{ name: 'traders', share: 1, limit: 16 },
	],
};

const HOSTS_PER_RACK = 4;
const DATA_CENTRES = ['dc-1', 'dc-2', 'dc-3'] as const;

/** The key of an organisation's team in the sample notes. */
export function sampleKey(organisation: string): string {
	return `key-of-${organisation}`;
}

/** A note that adds the desks and the entry hosts to an empty fleet. Each desk gets an equal part of the workers. */
export function createDeskNote(
	desks: readonly DeskShape[],
	workers: readonly LocalWorker[],
	entryHosts: readonly EntryHost[],
): ReleaseNote {
	const perDesk = Math.floor(workers.length / desks.length);
	return {
		id: 'first-note',
		author: 'demo',
		writtenAgainst: -1,
		comment: 'Adds the pools, hosts, queues, teams and keys of the desks.',
		added: {
			entryHosts,
			pools: desks.flatMap(poolsOf),
			hosts: desks.flatMap((desk, index) => hostsOf(desk, workers.slice(index * perDesk, (index + 1) * perDesk))),
			queues: desks.flatMap(queuesOf),
			teams: desks.flatMap(teamsOf),
			keys: desks.flatMap(keysOf),
		},
	};
}

function spareOf(desk: DeskShape): string {
	return desk.services.at(-1) ?? '';
}

function poolsOf(desk: DeskShape): Pool[] {
	const budget = { maximumUnavailable: 2, maximumUnavailablePerDataCentre: 1 };
	return desk.services.map(name => ({ name, cell: desk.cell, budget, spare: name === spareOf(desk) }));
}

function hostsOf(desk: DeskShape, workers: readonly LocalWorker[]): Host[] {
	return workers.map((worker, index) => {
		const rack = Math.floor(index / HOSTS_PER_RACK);
		return {
			name: worker.host,
			pool: desk.services[index % desk.services.length] ?? '',
			address: worker.address,
			dataCentre: DATA_CENTRES[rack % DATA_CENTRES.length] ?? '',
			rack: `${desk.cell}-rack-${rack + 1}`,
			slots: 8,
			connections: 64,
		};
	});
}

function queuesOf(desk: DeskShape): Queue[] {
	const spare = spareOf(desk);
	return desk.services.map(name => ({
		name,
		pools: name === spare ? [spare] : [name, spare],
		open: false,
		maximumWaiting: 1_000,
		objective: { latencyMs: 1_000, target: 0.99 },
	}));
}

function teamsOf(desk: DeskShape): Team[] {
	return desk.organisations.map(({ name, share, limit }) => ({
		name,
		organisation: name,
		share,
		limit,
		queues: desk.services,
	}));
}

function keysOf(desk: DeskShape): TeamKey[] {
	return desk.organisations.map(({ name }) => ({
		id: `${name}-1`,
		team: name,
		sha256: createHash('sha256').update(sampleKey(name)).digest('hex'),
	}));
}
