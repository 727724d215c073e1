import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';

/** Why an exchange ended without a whole answer. */
export type ExchangeFault = 'transport' | 'aborted' | 'refused-head' | 'no-length' | 'truncated' | 'too-large';

/** How one HTTP exchange ended. */
export type ExchangeResult =
	| {
			readonly type: 'answer';
			readonly status: number;
			readonly headers: IncomingHttpHeaders;
			readonly body: Buffer;
	  }
	| {
			readonly type: 'failed';
			readonly fault: ExchangeFault;
			/** False only when no byte of the request can have left this process, now or later. */
			readonly sent: boolean;
			/** Why the signal was aborted, for `aborted`; what the transport reported otherwise. */
			readonly error: unknown;
	  };

/** One HTTP request. */
export interface ExchangeRequest {
	/** `http://IP:port` */
	readonly origin: string;
	readonly method: 'GET' | 'POST' | 'DELETE';
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: Uint8Array | string | undefined;
	/** Ends the exchange and, once bytes were sent, destroys its connection. */
	readonly signal: AbortSignal;
	/** Time for the whole answer, in milliseconds; ends the exchange as `aborted`. No bound when left out. */
	readonly timeoutMs?: number;
	/** Answers with a longer body end as `too-large`. */
	readonly maximumBytes: number;
	/** Called when the request is written to its connection. */
	readonly onSent?: () => void;
	/** Called whenever bytes of the answer arrive. */
	readonly onBytes?: () => void;
	/** Returns a reason to give up on the answer before its body is read. */
	readonly checkHead?: (status: number, headers: IncomingHttpHeaders) => string | undefined;
}

/** Statuses whose length is zero by definition, so that they declare none. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** The declared length of an answer's body; `undefined` when it declares none. */
function declaredLength(status: number, headers: IncomingHttpHeaders): number | undefined {
	if (BODYLESS_STATUSES.has(status)) {
		return 0;
	}
	const text = headers['content-length'];
	return text !== undefined && /^\d{1,15}$/.test(text) ? Number(text) : undefined;
}

/**
 * Runs one exchange and reads the whole answer. Never rejects.
 * undici calls `onRequestStart` directly before it writes the first byte. Until then nothing was sent, and an abort in
 * that call keeps it so.
 */
export function exchange(dispatcher: Dispatcher, request: ExchangeRequest): Promise<ExchangeResult> {
	const { signal, maximumBytes, timeoutMs } = request;
	return new Promise(resolve => {
		const sendBy = timeoutMs === undefined ? Infinity : performance.now() + timeoutMs;
		let controller: Dispatcher.DispatchController | undefined;
		let sent = false;
		let ended = false;
		let head: { status: number; headers: IncomingHttpHeaders; length: number } | undefined;
		const chunks: Buffer[] = [];
		let received = 0;
		let timer: NodeJS.Timeout | undefined;
		let immediate: NodeJS.Immediate | undefined;

		const end = (result: ExchangeResult): void => {
			if (ended) {
				return;
			}
			ended = true;
			signal.removeEventListener('abort', onAbort);
			clearTimeout(timer);
			clearImmediate(immediate);
			resolve(result);
		};
		const fail = (fault: ExchangeFault, error: unknown): void => {
			end({ type: 'failed', fault, sent, error });
			controller?.abort(error instanceof Error ? error : new Error(String(error)));
		};
		function onAbort(): void {
			fail('aborted', signal.reason);
		}

		if (signal.aborted) {
			onAbort();
			return;
		}
		if (timeoutMs !== undefined) {
			const timeOut = (): void => fail('aborted', new Error(`no answer within ${timeoutMs} ms`));
			timer = setTimeout(() => {
				// While the process was busy, the timer has expired although the answer has arrived. Sockets are read before the next
				// immediate callback.
				immediate = setImmediate(timeOut);
			}, timeoutMs);
		}
		signal.addEventListener('abort', onAbort, { once: true });

		const handler: Dispatcher.DispatchHandler = {
			onRequestStart: started => {
				controller = started;
				// undici may dispatch a request again after its connection broke; one that was sent is never sent twice.
				if (ended || sent) {
					started.abort(new Error('the exchange has ended or was sent before'));
					return;
				}
				if (performance.now() > sendBy) {
					// A process that was suspended reads its sockets, and finds a free connection, before it handles its timers.
					fail('aborted', new Error(`not sent within ${timeoutMs} ms`));
					return;
				}
				sent = true;
				request.onSent?.();
			},
			onResponseStart: (_controller, status, headers) => {
				request.onBytes?.();
				if (ended || status < 200) {
					return;
				}
				const refusal = request.checkHead?.(status, headers);
				const length = declaredLength(status, headers);
				if (refusal !== undefined) {
					fail('refused-head', new Error(refusal));
				} else if (length === undefined) {
					fail('no-length', new Error('the answer declares no length'));
				} else if (length > maximumBytes) {
					fail('too-large', new Error(`the answer declares ${length} bytes; allowed are ${maximumBytes}`));
				} else {
					head = { status, headers, length };
				}
			},
			onResponseData: (_controller, chunk) => {
				request.onBytes?.();
				received += chunk.length;
				if (received > maximumBytes) {
					fail('too-large', new Error(`the answer has more than ${maximumBytes} bytes`));
				} else {
					chunks.push(chunk);
				}
			},
			onResponseEnd: () => {
				if (head === undefined) {
					fail('transport', new Error('the connection ended without an answer'));
				} else if (received !== head.length) {
					fail('truncated', new Error(`the answer has ${received} of ${head.length} declared bytes`));
				} else {
					end({ type: 'answer', status: head.status, headers: head.headers, body: Buffer.concat(chunks, received) });
				}
			},
			onResponseError: (_controller, error) => {
				end({ type: 'failed', fault: head === undefined ? 'transport' : 'truncated', sent, error });
			},
		};
		try {
			dispatcher.dispatch(
				{
					origin: request.origin,
					path: request.path,
					method: request.method,
					headers: { ...request.headers },
					...(request.body === undefined ? {} : { body: request.body }),
				},
				handler,
			);
		} catch (error) {
			fail('transport', error);
		}
	});
}
