const table = Uint32Array.from({ length: 256 }, (_, byte) => {
	let value = byte;
	for (let bit = 0; bit < 8; bit++) {
		value = value & 1 ? (value >>> 1) ^ 0xedb88320 : value >>> 1;
	}
	return value;
});

/** CRC-32 (ISO 3309) over the UTF-16 code units of a text, low byte first, as eight hexadecimal digits. */
export function checksumOf(text: string): string {
	let sum = 0xffffffff;
	for (let index = 0; index < text.length; index++) {
		const unit = text.charCodeAt(index);
		sum = (sum >>> 8) ^ (table[(sum ^ unit) & 255] ?? 0);
		sum = (sum >>> 8) ^ (table[(sum ^ (unit >>> 8)) & 255] ?? 0);
	}
	return ((sum ^ 0xffffffff) >>> 0).toString(16).padStart(8, '0');
}
