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

/** Reason why a daemon may not accept new work. */
export type ServeRefusal = 'not-an-entry-host' | 'majority-not-heard' | 'behind-peer' | 'view-too-old';

/** Decision whether the daemon may accept new work. */
export type ServeVerdict =
	{ readonly allowed: true } | { readonly allowed: false; readonly reason: ServeRefusal; readonly kind: ErrorKind };

/** Reported age of a view that was never confirmed. It is finite because JSON cannot represent infinity. */
export const NEVER_CONFIRMED_MS = Number.MAX_SAFE_INTEGER;

/** Tracks the age of this daemon's view of the control stream and the views reported by its peers. */
export interface ViewFreshness {
	/** Records that the daemon has applied the control stream up to this offset. */
	folded(offset: number): void;
	/**
	 * Records a read by this daemon that found the end of the stream at `offset`, which the daemon has applied.
	 * @param sentAt when the read was sent; records may have been appended since
	 */
	readConfirmed(offset: number, sentAt: MonotonicTime): void;
	/** Records a read by this daemon that did not reach the end, or that found a record which cannot be applied. */
	readSucceeded(): void;
	/** Records a failed read by this daemon. */
	readFailed(): void;
	/**
	 * Records the view that a peer reported in its response to a call.
	 * @param sentAt when the call was sent, which is a lower bound for the time of the report
	 */
	peerReported(entryHost: string, report: ViewReport, sentAt: MonotonicTime, now: MonotonicTime): void;
	/** Records the offset in a peer's call. The rest of its report is ignored, because the call may have been delayed. */
	peerOffsetReceived(offset: number, now: MonotonicTime): void;
	/** Records that the local voter promised another daemon the lease. A leader renews only while a majority responds. */
	leaderContacted(now: MonotonicTime): void;
	/** Decides whether the daemon may accept new work. */
	mayServe(now: MonotonicTime, entryHostNames: readonly string[], selfName: string): ServeVerdict;
	/** Returns the report that is sent to peers. */
	report(now: MonotonicTime): ViewReport;
}

interface PeerReport {
	/** When the call was sent that the peer answered. */
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
	/** Offset of the last applied record, or -1 if there is none. */
	readonly offset: number;
}

/** Creates the tracker with a view that was never confirmed. */
export function createViewFreshness({ offset }: ViewFreshnessOptions): ViewFreshness {
	let foldedOffset = offset;
	let confirmedAt = -Infinity;
	let logReadable = false;
	// When this daemon last accepted work because no daemon was known to be able to read the log.
	let servedInOutageAt = -Infinity;
	let leaderContactAt = -Infinity;
	const peers = new Map<string, PeerReport>();
	// Highest offset reported by a peer, and the time since which this daemon has been behind it.
	let reportedOffset = offset;
	let behindSince: MonotonicTime | undefined;

	const folded = (newOffset: number): void => {
		foldedOffset = Math.max(foldedOffset, newOffset);
		if (foldedOffset >= reportedOffset) {
			behindSince = undefined;
		}
	};

	const peerOffsetReceived = (observedOffset: number, now: MonotonicTime): void => {
		reportedOffset = Math.max(reportedOffset, observedOffset);
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
			// A report about a higher offset does not confirm this daemon's older view.
			if (report.configurationOffset <= foldedOffset && report.viewAgeMs < NEVER_CONFIRMED_MS) {
				confirmedAt = Math.max(confirmedAt, sentAt - report.viewAgeMs * (1 + CLOCK_DRIFT_MARGIN));
			}
		},
		peerOffsetReceived,
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
			// A delayed renewal is safe here: without a leader that reaches this daemon there are no grants.
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
			// Rounded up, so that the JSON stays short and the report never understates the age.
			viewAgeMs: confirmedAt === -Infinity ? NEVER_CONFIRMED_MS : Math.ceil(now - confirmedAt),
			logReadable,
		}),
	};
}
