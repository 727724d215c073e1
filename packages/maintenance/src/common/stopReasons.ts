/** Why a wave stopped itself. The text of the record carries it, so that a new leader can tell when it is gone. */
export type StopCause =
	| { readonly kind: 'host-overdue'; readonly hosts: readonly string[] }
	| { readonly kind: 'returned-hosts-failing'; readonly hosts: readonly string[] };

const pattern = /^(host-overdue|returned-hosts-failing): (\S+(?:, \S+)*)$/;

/** The text of a cause, as `wave-stopped` records carry it. */
export function formatStopCause(cause: StopCause): string {
	return `${cause.kind}: ${cause.hosts.join(', ')}`;
}

/** Reads the text back; `undefined` for a reason that the driver did not write. */
export function parseStopCause(reason: string | undefined): StopCause | undefined {
	const [, kind, hosts] = pattern.exec(reason ?? '') ?? [];
	if ((kind !== 'host-overdue' && kind !== 'returned-hosts-failing') || hosts === undefined) {
		return undefined;
	}
	return { kind, hosts: hosts.split(', ') };
}
