import type { BurnAnswer, BurnRow, BurnWindow } from '@chestnutwheel/configuration/common/operatorProtocol.js';

const entities: Readonly<Record<string, string>> = {
	'&': '&amp;',
	'<': '&lt;',
	'>': '&gt;',
	'"': '&quot;',
	"'": '&#39;',
};

const escapeText = (text: string): string => text.replace(/[&<>"']/g, found => entities[found] ?? found);

/** A window length for people, such as `5 min`. */
export function windowText(windowMs: number): string {
	const minutes = windowMs / 60_000;
	return minutes < 60 ? `${minutes} min` : minutes < 1_440 ? `${minutes / 60} h` : `${minutes / 1_440} d`;
}

/** The windows that occur in a report, shortest first. */
export function burnWindows(answer: BurnAnswer): readonly number[] {
	const lengths = answer.rows.flatMap(row => row.windows.map(window => window.windowMs));
	return [...new Set(lengths)].sort((left, right) => left - right);
}

/** The window of a row with this length. */
export const windowOf = (row: BurnRow, windowMs: number): BurnWindow | undefined =>
	row.windows.find(window => window.windowMs === windowMs);

/** The burn report as a page that needs no other file. */
export function burnPage(answer: BurnAnswer): string {
	const lengths = burnWindows(answer);
	const head = ['Team', 'Queue', 'Objective', ...lengths.map(length => `Burn over ${windowText(length)}`), 'Alarm'];
	const cells = (row: BurnRow): readonly string[] => [
		row.team,
		row.queue,
		`${row.target * 100} % within ${row.latencyMs} ms`,
		...lengths.map(length => {
			const window = windowOf(row, length);
			return window === undefined
				? '-'
				: `${window.burnRate.toFixed(2)} (${window.bad} of ${window.good + window.bad})`;
		}),
		row.alarm,
	];
	const line = (tag: string, texts: readonly string[]): string =>
		texts.map(text => `<${tag}>${escapeText(text)}</${tag}>`).join('');
	return [
		'<!doctype html>',
		'<html lang="en"><head><meta charset="utf-8"><title>Burn report</title>',
		'<style>body{font-family:sans-serif}table{border-collapse:collapse}td,th{border:1px solid #999;padding:4px 8px}',
		'.fast-burn{background:#f6c4c4}.slow-burn{background:#f9eec0}</style></head><body>',
		`<h1>Burn report, ${escapeText(new Date(answer.at).toISOString())}</h1>`,
		`<table><thead><tr>${line('th', head)}</tr></thead><tbody>`,
		...answer.rows.map(row => `<tr class="${escapeText(row.alarm)}">${line('td', cells(row))}</tr>`),
		'</tbody></table></body></html>',
		'',
	].join('\n');
}
