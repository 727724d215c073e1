import { Controller, Delete, Get, Inject, Param, Post, Req, Res } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';
import { CALLER_SERVICE, type CallerService } from '../entry/callerService.js';

/** Routes for callers: short requests and long jobs. */
@Controller('v1')
export class CallerController {
	constructor(@Inject(CALLER_SERVICE) private readonly service: CallerService) {}

	@Post('queues/:queue/requests')
	async request(
		@Param('queue') queue: string,
		@Req() request: FastifyRequest,
		@Res() reply: FastifyReply,
	): Promise<void> {
		const answer = await this.service.request(queue, request.headers, bodyOf(request), closedSignal(reply));
		void reply
			.status(answer.status)
			.header('content-type', answer.contentType)
			.header('x-request-id', answer.requestId)
			.header('x-attempts', answer.attempts)
			.send(answer.body);
	}

	@Post('queues/:queue/jobs')
	async submit(
		@Param('queue') queue: string,
		@Req() request: FastifyRequest,
		@Res() reply: FastifyReply,
	): Promise<void> {
		const job = await this.service.submitJob(queue, request.headers, bodyOf(request));
		void reply.status(202).send(job);
	}

	@Get('jobs/:jobId')
	async job(@Param('jobId') jobId: string, @Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
		void reply.send(await this.service.job(jobId, request.headers));
	}

	@Get('jobs/:jobId/result')
	async result(
		@Param('jobId') jobId: string,
		@Req() request: FastifyRequest,
		@Res() reply: FastifyReply,
	): Promise<void> {
		const result = await this.service.jobResult(jobId, request.headers);
		void reply.header('content-type', 'application/octet-stream').send(Buffer.from(result, 'utf8'));
	}

	@Delete('jobs/:jobId')
	async cancel(
		@Param('jobId') jobId: string,
		@Req() request: FastifyRequest,
		@Res() reply: FastifyReply,
	): Promise<void> {
		void reply.send(await this.service.cancelJob(jobId, request.headers));
	}
}

function bodyOf(request: FastifyRequest): Uint8Array {
	return request.body instanceof Uint8Array ? request.body : new Uint8Array();
}

/** A signal that is aborted when the caller closes the connection before the answer was sent. */
function closedSignal(reply: FastifyReply): AbortSignal {
	const controller = new AbortController();
	reply.raw.once('close', () => {
		if (!reply.raw.writableEnded) {
			controller.abort();
		}
	});
	return controller.signal;
}
