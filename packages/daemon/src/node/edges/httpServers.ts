import 'reflect-metadata';
import type { Server } from 'node:http';
import { Module, type DynamicModule, type Type } from '@nestjs/common';
import { NestFactory } from '@nestjs/core';
import { FastifyAdapter, type NestFastifyApplication } from '@nestjs/platform-fastify';
import { CALLER_SERVICE, type CallerService } from '../entry/callerService.js';
import { MAXIMUM_BODY_BYTES } from '../entry/callerRequest.js';
import { CONTROL_SERVICE, type ControlService } from '../operator/controlService.js';
import { CallerController } from './callerController.js';
import { ControlController } from './controlController.js';
import { ErrorFilter } from './errorFilter.js';

/** A server that takes requests. */
export interface HttpServer {
	/** Address in use, as `http://IP:port`. */
	readonly address: string;
	/** The underlying server. */
	readonly server: Server;
	/** Closes the listener and idle connections; resolves when open requests have ended. */
	close(): Promise<void>;
}

/** Larger control bodies are refused; a release note with 20,000 hosts fits. */
const MAXIMUM_CONTROL_BODY_BYTES = 16 * 1_048_576;

const CLOSE_IDLE_EVERY_MS = 50;

@Module({})
class EdgeModule {
	static with(controller: Type, token: symbol, service: unknown): DynamicModule {
		return { module: EdgeModule, controllers: [controller], providers: [{ provide: token, useValue: service }] };
	}
}

/** Starts the server for callers. Bodies are passed on as they are. */
export async function startCallerServer(address: string, service: CallerService): Promise<HttpServer> {
	const adapter = new FastifyAdapter({
		bodyLimit: MAXIMUM_BODY_BYTES,
		forceCloseConnections: 'idle',
		return503OnClosing: false,
	});
	const fastify = adapter.getInstance();
	fastify.removeAllContentTypeParsers();
	fastify.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => done(null, body));
	const application = await createApplication(adapter, EdgeModule.with(CallerController, CALLER_SERVICE, service));
	return listen(application, address);
}

/** Starts the server for other daemons, the balancer, monitoring and operators. */
export async function startControlServer(address: string, service: ControlService): Promise<HttpServer> {
	const adapter = new FastifyAdapter({
		bodyLimit: MAXIMUM_CONTROL_BODY_BYTES,
		forceCloseConnections: 'idle',
		return503OnClosing: false,
	});
	const application = await createApplication(
		adapter,
		EdgeModule.with(ControlController, CONTROL_SERVICE, service),
		true,
	);
	return listen(application, address);
}

async function createApplication(
	adapter: FastifyAdapter,
	module: DynamicModule,
	bodyParser = false,
): Promise<NestFastifyApplication> {
	const application = await NestFactory.create<NestFastifyApplication>(module, adapter, {
		logger: false,
		bodyParser,
		abortOnError: false,
	});
	application.useGlobalFilters(new ErrorFilter());
	return application;
}

async function listen(application: NestFastifyApplication, address: string): Promise<HttpServer> {
	const separator = address.lastIndexOf(':');
	const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
	await application.listen(Number(address.slice(separator + 1)), host);
	return {
		address: await application.getUrl(),
		server: application.getHttpServer(),
		close: async () => {
			// A kept-alive connection that was busy when the listener closed would hold the server open once it is idle.
			const server = application.getHttpServer();
			const timer = setInterval(() => server.closeIdleConnections(), CLOSE_IDLE_EVERY_MS);
			await application.close().finally(() => clearInterval(timer));
		},
	};
}
