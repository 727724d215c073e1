import { Controller, Get, HttpCode, Inject, Param, Post, Req, Res } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';
import { CONTROL_SERVICE, type ControlService } from '../operator/controlService.js';

/** Routes on the control address: other daemons, the balancer, monitoring and operators. */
@Controller()
export class ControlController {
	constructor(@Inject(CONTROL_SERVICE) private readonly service: ControlService) {}

	@Post('rpc')
	@HttpCode(200)
	async call(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
		void reply.send(await this.service.peerCall(request.body));
	}

	@Get('health')
	health(@Res() reply: FastifyReply): void {
		const health = this.service.health();
		void reply.status(health.ready ? 200 : 503).send(health);
	}

	@Get('metrics')
	metrics(@Res() reply: FastifyReply): void {
		void reply.header('content-type', 'text/plain; version=0.0.4').send(this.service.metrics());
	}

	@Post('operator/notes')
	@HttpCode(200)
	async submit(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
		this.service.authorize(request.headers.authorization);
		void reply.send({ verdict: await this.service.submitNote(request.body) });
	}

	@Get('operator/in-force')
	async inForce(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
		this.service.authorize(request.headers.authorization);
		void reply.send(await this.service.inForce());
	}

	@Get('operator/notes/:id')
	async note(@Param('id') id: string, @Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
		this.service.authorize(request.headers.authorization);
		void reply.send(await this.service.note(id));
	}

	@Get('operator/explain/:kind/:name')
	async explain(
		@Param('kind') kind: string,
		@Param('name') name: string,
		@Req() request: FastifyRequest,
		@Res() reply: FastifyReply,
	): Promise<void> {
		this.service.authorize(request.headers.authorization);
		void reply.send(await this.service.explain(kind, name));
	}

	@Get('operator/:view')
	async view(@Param('view') view: string, @Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
		this.service.authorize(request.headers.authorization);
		void reply.send(await this.service.view(view));
	}
}
