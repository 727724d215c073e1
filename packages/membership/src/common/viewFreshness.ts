import type { MonotonicTime } from '@chestnutwheel/base/common/clock.js';
import type { ErrorKind } from '@chestnutwheel/base/common/errorKinds.js';
import {
	CLOCK_DRIFT_MARGIN,
	LOG_RECOVERY_GRACE_MS,
	MAX_VIEW_AGE_MS,
	PEER_REPORT_VALIDITY_MS,
	type ViewReport,
} from './leaseMessages.js';
import { majorityOf } from './majority.js';

/** Why a daemon may not take new work. */
export type ServeRefusal = 'not-an-entry-host' | 'majority-not-heard' | 'behind-peer' | 'view-too-old';

/** Whether new work may be taken. */
export type ServeVerdict =
	{ readonly allowed: true } | { readonly allowed: false; readonly reason: ServeRefusal; readonly kind: ErrorKind };

/** Age in the report of a view that was never confirmed; finite, so that it survives JSON. */
export const NEVER_CONFIRMED_MS = Number.MAX_SAFE_INTEGER;

/** Tracks how old this daemon's view of the control stream is, and what its peers report of theirs. */
export interface ViewFreshness {
	/** The daemon has folded the control stream up to this offset. */
	folded(offset: number): void;
	/**
	 * An own read found that the stream ends after `offset`, which is folded.
	 * @param sentAt when the read was sent; the records may have grown since
	 */
	readConfirmed(offset: number, sentAt: MonotonicTime): void;
	/** An own read returned records without reaching the end, or reached a record that cannot be folded. */
	readSucceeded(): void;
	/** An own read failed. */
	readFailed(): void;
	/**
	 * A peer reported its view in answer to a call.
	 * @param sentAt when the call was sent; the report is no older than that
	 */
	peerReported(entryHost: string, report: ViewReport, sentAt: MonotonicTime, now: MonotonicTime): void;
	/** A peer's own call carried its offset. The call may have been delayed, so that nothing else in it counts. */
	peerOffsetReceived(offset: number, now: MonotonicTime): void;
	/** The own voter promised another daemon the lease; a leader renews only while a majority answers it. */
	leaderContacted(now: MonotonicTime): void;
	/** Whether new work may be taken. */
	mayServe(now: MonotonicTime, entryHostNames: readonly string[], selfName: string): ServeVerdict;
	/** The report for messages to peers. */
	report(now: MonotonicTime): ViewReport;
}

interface PeerReport {
	readonly reportedAt: MonotonicTime;
	readonly logReadable: boolean;
}

const refusalKinds: Readonly<Record<ServeRefusal, ErrorKind>> = {
	'not-an-entry-host': 'not-a-member',
	'majority-not-heard': 'not-a-member',
	'behind-peer': 'stale-configuration',
	'view-too-old': 'stale-configuration',
};

/** Options of {@link createViewFreshness}. */
export interface ViewFreshnessOptions {
	/** Offset of the last record folded; -1 before the first. */
	readonly offset: number;
}

/** Creates a view that was never confirmed. */
export function createViewFreshness({ offset }: ViewFreshnessOptions): ViewFreshness {
	let foldedOffset = offset;
	let confirmedAt = -Infinity;
	let logReadable = false;
	// When this daemon last served because nobody could read the log.
	let servedInOutageAt = -Infinity;
	let leaderContactAt = -Infinity;
	const peers = new Map<string, PeerReport>();
	// The highest offset reported, and since when the daemon has known of an offset that it has not folded.
	let reportedOffset = offset;
	let behindSince: MonotonicTime | undefined;

	const folded = (newOffset: number): void => {
		foldedOffset = Math.max(foldedOffset, newOffset);
		if (foldedOffset >= reportedOffset) {
			behindSince = undefined;
		}
	};

	const peerOffsetReceived = (peersOffset: number, now: MonotonicTime): void => {
		reportedOffset = Math.max(reportedOffset, peersOffset);
		if (reportedOffset > foldedOffset) {
			behindSince ??= now;
		}
	};

	const refuse = (reason: ServeRefusal): ServeVerdict => ({ allowed: false, reason, kind: refusalKinds[reason] });

	return {
		folded,
		readConfirmed: (lastOffset, sentAt) => {
			logReadable = true;
			folded(lastOffset);
			confirmedAt = Math.max(confirmedAt, sentAt);
		},
		readSucceeded: () => {
			logReadable = true;
		},
		readFailed: () => {
			logReadable = false;
		},
		peerReported: (entryHost, report, sentAt, now) => {
			const known = peers.get(entryHost);
			if (known === undefined || known.reportedAt <= sentAt) {
				peers.set(entryHost, { reportedAt: sentAt, logReadable: report.logReadable });
			}
			peerOffsetReceived(report.configurationOffset, now);
			// A peer that has folded more than this daemon says nothing about the age of this daemon's view.
			if (report.configurationOffset <= foldedOffset && report.viewAgeMs < NEVER_CONFIRMED_MS) {
				confirmedAt = Math.max(confirmedAt, sentAt - report.viewAgeMs * (1 + CLOCK_DRIFT_MARGIN));
			}
		},
		peerOffsetReceived: peerOffsetReceived,
		leaderContacted: now => {
			leaderContactAt = now;
		},
		mayServe: (now, entryHostNames, selfName) => {
			if (!entryHostNames.includes(selfName)) {
				return refuse('not-an-entry-host');
			}
			for (const name of [...peers.keys()].filter(known => !entryHostNames.includes(known))) {
				peers.delete(name);
			}
			const recentReports = entryHostNames
				.filter(name => name !== selfName)
				.map(name => peers.get(name))
				.filter(peer => peer !== undefined && now - peer.reportedAt <= PEER_REPORT_VALIDITY_MS);
			const hasMajority = recentReports.length + 1 >= majorityOf(entryHostNames.length);
			// Without a leader that can reach this daemon there are no grants, so that a delayed renewal does no harm here.
			const hasLeaderContact = now - leaderContactAt <= PEER_REPORT_VALIDITY_MS;
			if (!hasMajority && !hasLeaderContact) {
				return refuse('majority-not-heard');
			}
			if (behindSince !== undefined && now - behindSince > MAX_VIEW_AGE_MS) {
				return refuse('behind-peer');
			}
			if (now - confirmedAt <= MAX_VIEW_AGE_MS) {
				return { allowed: true };
			}
			const isLogReadable = logReadable || recentReports.some(peer => peer?.logReadable === true);
			if (confirmedAt !== -Infinity && hasMajority && !isLogReadable) {
				servedInOutageAt = now;
				return { allowed: true };
			}
			return now - servedInOutageAt <= LOG_RECOVERY_GRACE_MS ? { allowed: true } : refuse('view-too-old');
		},
		report: now => ({
			configurationOffset: foldedOffset,
			// Rounded up: a shorter text, and never younger than the view is.
			viewAgeMs: confirmedAt === -Infinity ? NEVER_CONFIRMED_MS : Math.ceil(now - confirmedAt),
			logReadable,
		}),
	};
}
