import { fastify } from 'fastify';
import { Pool } from 'undici';

/*
 * The least hop that these libraries allow: reads a request whole, sends it on to the address in the first argument, and
 * returns the whole answer. It checks nothing; the benchmark compares the daemon with it.
 */

/** Headers that belong to one connection and are not sent on. */
const HOP_HEADERS: ReadonlySet<string> = new Set(['host', 'connection', 'content-length']);

const [origin = ''] = process.argv.slice(2);
const pool = new Pool(origin, { connections: 64, pipelining: 1 });
const server = fastify();

server.removeAllContentTypeParsers();
server.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => done(null, body));
server.post('/*', async (request, reply) => {
	const headers = Object.fromEntries(Object.entries(request.headers).filter(([name]) => !HOP_HEADERS.has(name)));
	const answer = await pool.request({ path: request.url, method: 'POST', headers, body: request.body as Buffer });
	const body = Buffer.from(await answer.body.arrayBuffer());
	return reply
		.code(answer.statusCode)
		.header('content-type', answer.headers['content-type'])
		.header('x-task-id', answer.headers['x-task-id'])
		.send(body);
});

process.once('SIGTERM', () => process.exit(0));
const address = await server.listen({ host: '127.0.0.1', port: 0 });
process.stdout.write(`${JSON.stringify({ address })}\n`);
