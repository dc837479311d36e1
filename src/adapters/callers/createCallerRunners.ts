import { Agent } from 'undici';
import type { UntimedEvent } from '../../core/UntimedEvent.js';
import type { EffectRunners } from '../EffectRunners.js';
import type { Attempt } from './Attempt.js';
import type { Caller } from './Caller.js';
import type { CallerTable } from './CallerTable.js';
import { createAttemptHandler } from './createAttemptHandler.js';
import { filterHeaders } from './filterHeaders.js';
import { writeProblem } from './writeProblem.js';

const connectTimeoutMs = 1000;
const maxConnectionsPerWorker = 64;
// The token is for the gateway, not for workers; undici sets the length of the body itself.
const droppedHeaders = ['authorization', 'host', 'content-length', 'expect'];

type CallerRunners = Required<
  Pick<
    EffectRunners,
    'dispatchAttempt' | 'relayAnswer' | 'abortAttempt' | 'refuseCaller' | 'resetCaller'
  >
>;

const createAgent = (): Agent =>
  new Agent({
    connect: { timeout: connectTimeoutMs },
    connections: maxConnectionsPerWorker,
    pipelining: 1,
    // The core aborts an attempt at the caller's deadline, so undici needs no timeouts.
    headersTimeout: 0,
    bodyTimeout: 0,
  });

const buildHeaders = (caller: Caller, attemptId: string): Record<string, string | string[]> => ({
  ...filterHeaders(caller.incoming.headers, droppedHeaders),
  'siskin-request': caller.requestId,
  'siskin-attempt': attemptId,
  'siskin-workspace': caller.workspace,
});

const createAttempt = (requestId: string, attemptId: string): Attempt => ({
  attemptId,
  requestId,
  controller: null,
  phase: 'notSent',
  status: 0,
  headers: {},
  abandoned: false,
  relayed: false,
});

const relayResponse = (caller: Caller, attempt: Attempt, closeConnection: boolean): void => {
  if (caller.outgoing.headersSent || caller.outgoing.destroyed) return;
  attempt.relayed = true;
  caller.outgoing.writeHead(attempt.status, {
    ...attempt.headers,
    'siskin-request-id': caller.requestId,
    ...(closeConnection ? { connection: 'close' } : {}),
  });
  attempt.controller?.resume();
};

/** Creates the runners of the effects that answer callers and send attempts to workers. */
export const createCallerRunners = (
  table: CallerTable,
  push: (event: UntimedEvent) => void,
): CallerRunners => {
  const agent = createAgent();
  return {
    dispatchAttempt: ({ requestId, attemptId, url }) => {
      const caller = table.callers.get(requestId);
      if (!caller) return;
      const attempt = createAttempt(requestId, attemptId);
      table.attempts.set(attemptId, attempt);
      const { method = 'GET' } = caller.incoming;
      agent.dispatch(
        {
          origin: url,
          path: caller.path,
          method,
          headers: buildHeaders(caller, attemptId),
          body: caller.body.length > 0 ? caller.body : null,
        },
        createAttemptHandler(attempt, caller.outgoing, push),
      );
    },
    relayAnswer: ({ requestId, attemptId, closeConnection }) => {
      const caller = table.callers.get(requestId);
      const attempt = table.attempts.get(attemptId);
      if (caller && attempt) relayResponse(caller, attempt, closeConnection);
    },
    abortAttempt: ({ attemptId }) => {
      const attempt = table.attempts.get(attemptId);
      if (attempt) attempt.abandoned = true;
      attempt?.controller?.abort(new Error('attempt was abandoned'));
      table.attempts.delete(attemptId);
    },
    refuseCaller: ({ requestId, refusal, closeConnection }) => {
      const caller = table.callers.get(requestId);
      if (caller) writeProblem(caller.outgoing, refusal, requestId, closeConnection);
    },
    resetCaller: ({ requestId }) => table.callers.get(requestId)?.outgoing.destroy(),
  };
};
