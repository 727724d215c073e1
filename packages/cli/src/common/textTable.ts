/** Cells of one row; `undefined` shows as a hyphen. */
export type TableRow = readonly (string | number | boolean | undefined)[];

/** Marks up the head of a table; the identity when the output is not a terminal. */
export type HeadStyle = (text: string) => string;

/** Lays out rows in columns, numbers to the right, with two spaces between columns. */
export function textTable(head: readonly string[], rows: readonly TableRow[], style: HeadStyle): string {
	if (rows.length === 0) {
		return '(none)';
	}
	const texts = rows.map(row => head.map((_, column) => String(row[column] ?? '-')));
	const widths = head.map((title, column) =>
		texts.reduce((width, row) => Math.max(width, (row[column] ?? '').length), title.length),
	);
	const isNumeric = head.map((_, column) => rows.every(row => ['number', 'undefined'].includes(typeof row[column])));
	const line = (cells: readonly string[]): string =>
		cells
			.map((cell, column) =>
				isNumeric[column] ? cell.padStart(widths[column] ?? 0) : cell.padEnd(widths[column] ?? 0),
			)
			.join('  ')
			.trimEnd();
	return [style(line(head)), ...texts.map(line)].join('\n');
}

/** A field value for people. */
export function valueText(value: unknown): string {
	return value === undefined ? 'none' : JSON.stringify(value);
}
