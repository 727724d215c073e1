/** One record of a stream. */
export interface LogRecord {
	readonly offset: number;
	/** Opaque text; the project writes JSON. */
	readonly value: string;
}

/** Answer of `GET /streams/{stream}/records?from={offset}&limit={count}&waitMs={milliseconds}`. */
export interface LogReadAnswer {
	/** Oldest offset that is still kept. */
	readonly firstOffset: number;
	/** Offset that the next append gets. */
	readonly endOffset: number;
	readonly records: readonly LogRecord[];
}

/** Answer of `POST /streams/{stream}/records` with the body `{"value": text}`. */
export interface LogAppendAnswer {
	readonly offset: number;
}

/** Client of the log service. Every call ends by its own deadline. */
export interface LogClient {
	/**
	 * Appends one record.
	 * @returns the offset of the record
	 * @throws `append-unknown` when the record may have been appended, `platform-unreachable` when it certainly was not
	 */
	append(stream: string, value: string, signal?: AbortSignal): Promise<number>;
	/**
	 * Reads records in order; waits up to `waitMs` for the first when there is none.
	 * `from` -1 reads the last record.
	 * @throws `log-record-expired` when `from` is older than what is kept, `platform-unreachable` otherwise
	 */
	read(
		stream: string,
		from: number,
		options?: { limit?: number; waitMs?: number; signal?: AbortSignal },
	): Promise<LogReadAnswer>;
}
