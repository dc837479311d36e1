import { randomUUID } from 'node:crypto';
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { type Context, Hono } from 'hono';
import { createRefusal } from '../../core/createRefusal.js';
import { buildCallerRequestedEvent } from './buildCallerRequestedEvent.js';
import type { Caller } from './Caller.js';
import type { CallerDependencies } from './CallerDependencies.js';
import type { CallerError } from './CallerError.js';
import { readBody } from './readBody.js';
import { writeProblem } from './writeProblem.js';

const maxBodyBytes = 16 * 1024 * 1024;

type CallerContext = Context<{ Bindings: HttpBindings }>;

const refuseBody = (
  caller: Omit<Caller, 'body'>,
  error: CallerError,
  dependencies: CallerDependencies,
): void => {
  if (error.kind === 'callerGone') return;
  dependencies.countRefusal('body-too-large');
  const refusal = { ...createRefusal('body-too-large'), detail: `limit ${error.limitBytes} bytes` };
  writeProblem(caller.outgoing, refusal, caller.requestId, true);
};

/** Removes a caller and its attempts when its connection closes; reports one that left early. */
const watchCaller = (caller: Caller, { table, push }: CallerDependencies): void => {
  caller.outgoing.on('close', () => {
    if (!caller.outgoing.writableFinished)
      push({ type: 'callerGone', requestId: caller.requestId });
    table.callers.delete(caller.requestId);
    table.attempts.forEach((attempt, attemptId) => {
      if (attempt.requestId === caller.requestId) table.attempts.delete(attemptId);
    });
  });
};

const serveCaller = async (
  context: CallerContext,
  dependencies: CallerDependencies,
): Promise<Response> => {
  const { incoming, outgoing } = context.env;
  const workspace = context.req.param('workspace') ?? '';
  const requestId = randomUUID();
  const path = (incoming.url ?? '/').slice(`/w/${workspace}`.length) || '/';
  const callerWithoutBody = { requestId, workspace, incoming, outgoing, path };
  const body = await readBody(incoming, maxBodyBytes);
  if (body.isErr()) {
    refuseBody(callerWithoutBody, body.error, dependencies);
    return RESPONSE_ALREADY_SENT;
  }
  const caller: Caller = { ...callerWithoutBody, body: body.value };
  dependencies.table.callers.set(requestId, caller);
  watchCaller(caller, dependencies);
  dependencies.push(buildCallerRequestedEvent(caller));
  // The effects of the core write the response later; hono must not write one.
  return RESPONSE_ALREADY_SENT;
};

/** Creates the routes of short requests; the gateway mounts them in its application. */
export const createCallerRoutes = (
  dependencies: CallerDependencies,
): Hono<{ Bindings: HttpBindings }> => {
  const application = new Hono<{ Bindings: HttpBindings }>();
  application.all('/w/:workspace/*', (context) => serveCaller(context, dependencies));
  return application;
};
