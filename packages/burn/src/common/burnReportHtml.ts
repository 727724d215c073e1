import type { BurnReport, BurnSeries } from './burnReport.js';
import { alarmText, causesText, objectiveText, seriesTitle } from './burnReportText.js';
import { burnWindows, type BurnWindowName } from './burnWindows.js';

const windowNames = Object.keys(burnWindows) as BurnWindowName[];
const PLOT_HEIGHT = 80;
const BAR_WIDTH = 8;

const escapes: Readonly<Record<string, string>> = {
	'&': '&amp;',
	'<': '&lt;',
	'>': '&gt;',
	'"': '&quot;',
	"'": '&#39;',
};

/** Text that is safe in HTML and in attribute values. */
export function escapeHtml(text: string): string {
	return text.replace(/[&<>"']/g, character => escapes[character] ?? character);
}

/** Bars of the bad requests of the last hour; the outline is the number of all requests, so no colour is needed. */
function plotSvg(series: BurnSeries): string {
	const highest = Math.max(1, ...series.lastHour.map(([good, bad]) => good + bad));
	const totalBad = series.lastHour.reduce((sum, [, bad]) => sum + bad, 0);
	const bars = series.lastHour.map(([good, bad], index) => {
		const left = 40 + index * BAR_WIDTH;
		const allHeight = ((good + bad) / highest) * PLOT_HEIGHT;
		const badHeight = (bad / highest) * PLOT_HEIGHT;
		const bar = (height: number, fill: string): string =>
			`<rect x="${left}" y="${(PLOT_HEIGHT + 10 - height).toFixed(1)}" width="${BAR_WIDTH - 2}" height="${height.toFixed(1)}" fill="${fill}" stroke="black"/>`;
		return `${good + bad > 0 ? bar(allHeight, 'white') : ''}${bad > 0 ? bar(badHeight, 'black') : ''}`;
	});
	const width = 40 + 60 * BAR_WIDTH + 10;
	const base = PLOT_HEIGHT + 10;
	return `<svg role="img" viewBox="0 0 ${width} ${PLOT_HEIGHT + 30}" width="${width}" height="${PLOT_HEIGHT + 30}">
<title>${escapeHtml(seriesTitle(series))}: requests per minute over the last hour, ${totalBad} of them bad</title>
<text x="36" y="18" text-anchor="end">${highest}</text><text x="36" y="${base}" text-anchor="end">0</text>
<line x1="38" y1="${base}" x2="${width - 10}" y2="${base}" stroke="black"/>
${bars.join('')}
<text x="40" y="${base + 16}">60 min ago</text><text x="${width - 10}" y="${base + 16}" text-anchor="end">now</text>
</svg>`;
}

function seriesHtml(series: BurnSeries): string {
	const cells = windowNames.map(name => `<td>${series.windows[name].burn.toFixed(2)}</td>`).join('');
	const latency =
		series.latency === undefined
			? ''
			: `<p>Latency of the last hours: p50 ${series.latency.p50.toFixed(1)} ms, p99 ${series.latency.p99.toFixed(1)} ms.</p>`;
	return `<section>
<h2>${escapeHtml(seriesTitle(series))}</h2>
<p><strong>${series.burning.length > 0 ? '&#9888; ' : ''}${alarmText(series)}</strong>. Objective: ${objectiveText(series)}. Budget left: ${(series.budgetLeft * 100).toFixed(1)} % of 3 days.</p>
<table><caption>Burn rate by window</caption><tr>${windowNames.map(name => `<th scope="col">${name}</th>`).join('')}</tr><tr>${cells}</tr></table>
<p>Burnt by: ${escapeHtml(causesText(series))}.</p>
${latency}
<figure>${plotSvg(series)}<figcaption>Requests per minute: outline all, filled bad.</figcaption></figure>
</section>`;
}

/** The report as one self-contained HTML page without scripts; it is readable without colour. */
export function burnReportHtml(report: BurnReport): string {
	const body =
		report.series.length === 0
			? '<p>No requests were counted against an objective in the last 3 days.</p>'
			: report.series.map(seriesHtml).join('\n');
	return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font:16px/1.4 sans-serif;max-width:60rem;margin:1rem auto;padding:0 1rem}svg{max-width:100%;height:auto;font:11px sans-serif}td,th{border:1px solid;padding:.2rem .6rem}table{border-collapse:collapse}</style>
</head><body><h1>Service-level burn</h1>
${body}
<p>Counted by ${report.daemons} daemon(s).${(report.refused ?? 0) > 0 ? ` Not counted: ${report.refused ?? 0} requests.` : ''}</p>
</body></html>
`;
}
