import { findQueue } from '../config/findQueue.js';
import { findWorkspace } from '../config/findWorkspace.js';
import type { Queue } from '../config/Queue.js';
import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { isCurrent } from '../streams/isCurrent.js';
import { answerCaller } from './answerCaller.js';
import type { CallerRequest } from './CallerRequest.js';
import { countQueuedJobs } from './countQueuedJobs.js';
import { handleCancel } from './handleCancel.js';
import { handleShow } from './handleShow.js';
import { handleSubmit } from './handleSubmit.js';
import type { Operation } from './Operation.js';
import type { OperationHandler } from './OperationHandler.js';
import { refuseCaller } from './refuseCaller.js';

const operationHandlers: Record<Operation, OperationHandler> = {
  submit: handleSubmit,
  show: handleShow,
  cancel: handleCancel,
};

const jobIdPattern = /^[0-9a-f]{16}$/;

const serveQueue = (
  state: State,
  request: CallerRequest,
  queue: Queue,
  workspace: string,
  now: Now,
): Effect[] => {
  const id = request.path.slice(queue.pathPrefix.length);
  if (id === '' && request.operation === 'show') {
    if (!isCurrent(state, 'journal', now)) {
      return refuseCaller(state, request, 'store-behind', now.at);
    }
    const count = countQueuedJobs(state, queue.name);
    return answerCaller(state, request.requestId, { type: 'pending', count });
  }
  if (!jobIdPattern.test(id)) return refuseCaller(state, request, 'no-queue', now.at);
  return operationHandlers[request.operation](state, request, { id, queue, workspace }, now);
};

/** Refuses a request that the configuration denies; while the view of it is old, a newer one may allow the request. */
const refuseByConfig = (
  state: State,
  request: CallerRequest,
  reason: 'no-queue' | 'unknown-key',
  now: Now,
): Effect[] =>
  refuseCaller(state, request, isCurrent(state, 'config', now) ? reason : 'config-behind', now.at);

/** Handles a request under the current configuration: checks its queue and API key, then its operation. */
export const handleRequest = (state: State, request: CallerRequest, now: Now): Effect[] => {
  const { config } = state;
  if (!config) return refuseCaller(state, request, 'no-config', now.at);
  const queue = findQueue(config, request.host, request.path);
  if (!queue) return refuseByConfig(state, request, 'no-queue', now);
  const workspace = findWorkspace(config, request.apiKey);
  if (!workspace && !queue.isPublic) return refuseByConfig(state, request, 'unknown-key', now);
  return serveQueue(state, request, queue, workspace?.name ?? '', now);
};
