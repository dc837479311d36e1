import { randomUUID } from 'node:crypto';
import { type Context, Hono } from 'hono';
import { ok, type Result } from 'neverthrow';
import type { Command } from '../../core/commands/Command.js';
import type { Refusal } from '../../core/Refusal.js';
import type { ApiDependencies } from './ApiDependencies.js';
import type { ApiRoute } from './ApiRoute.js';
import { buildProblemResponse } from './buildProblemResponse.js';
import { hashToken } from './hashToken.js';
import { jobRoutes } from './jobRoutes.js';
import { readBearerToken } from './readBearerToken.js';
import { readJsonBody } from './readJsonBody.js';
import { reportRoutes } from './reportRoutes.js';
import { settingsRoutes } from './settingsRoutes.js';

const routes: readonly ApiRoute[] = [...jobRoutes, ...settingsRoutes, ...reportRoutes];

const readCommand = async (
  route: ApiRoute,
  context: Context,
): Promise<Result<Command, Refusal>> => {
  const body = route.hasBody ? await readJsonBody(context.req.raw) : ok(undefined);
  return body.andThen((value) =>
    route
      .toCommand({
        params: context.req.param(),
        query: context.req.query(),
        getHeader: (name) => context.req.header(name),
        body: value,
      })
      .mapErr((detail): Refusal => ({ reason: 'bad-request', outcome: 'not-run', detail })),
  );
};

const serveRoute = async (
  route: ApiRoute,
  context: Context,
  dependencies: ApiDependencies,
): Promise<Response> => {
  const requestId = randomUUID();
  const refuse = (refusal: Refusal): Response => {
    dependencies.countRefusal(refusal.reason);
    return buildProblemResponse(refusal, requestId);
  };
  const token = readBearerToken(context.req.header('authorization'));
  if (token === undefined) return refuse({ reason: 'unauthorized', outcome: 'not-run' });
  const command = await readCommand(route, context);
  if (command.isErr()) return refuse(command.error);
  // The result may be ready before `push` returns, so the wait is registered first.
  const resultPromise = dependencies.waitForCommandResult(requestId);
  const tokenHash = hashToken(token);
  dependencies.push({ type: 'commandRequested', requestId, tokenHash, command: command.value });
  const result = await resultPromise;
  // The core counts its own refusals.
  if (!result.ok) return buildProblemResponse(result.refusal, requestId);
  const headers = new Headers({ 'siskin-request-id': requestId });
  if (route.buildLocation) headers.set('location', route.buildLocation(command.value));
  return Response.json(result.data ?? null, { status: route.successStatus, headers });
};

/** Creates the routes of the control API; the gateway mounts them in its application. */
export const createApiRoutes = (dependencies: ApiDependencies): Hono => {
  const application = new Hono();
  routes.forEach((route) => {
    application.on(route.method, route.path, (context) => serveRoute(route, context, dependencies));
  });
  return application;
};
