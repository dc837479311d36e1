import type { Effect } from '../../../src/core/Effect.js';
import { abortAttempt } from './abortAttempt.js';
import { answerCaller } from './answerCaller.js';
import { callAppend } from './callAppend.js';
import { callRead } from './callRead.js';
import { callWorker } from './callWorker.js';
import { dispatchAttempt } from './dispatchAttempt.js';
import { exitNode } from './exitNode.js';
import { relayAnswer } from './relayAnswer.js';
import { sendMessage } from './sendMessage.js';
import type { World } from './World.js';
import type { WorldNode } from './WorldNode.js';

type Runner<T extends Effect['type']> = (
  world: World,
  node: WorldNode,
  effect: Extract<Effect, { type: T }>,
) => void;

type Runners = { readonly [T in Effect['type']]?: Runner<T> };

const runners: Runners = {
  send: (world, node, { to, message }) => sendMessage(world, node, to, message),
  callWorker,
  dispatchAttempt,
  relayAnswer,
  abortAttempt,
  refuseCaller: (world, _node, { requestId, refusal }) =>
    answerCaller(world, requestId, { type: 'refusal', at: world.now, refusal }),
  resetCaller: (world, _node, { requestId }) =>
    answerCaller(world, requestId, { type: 'reset', at: world.now, byGateway: true }),
  answerCommand: (world, _node, { requestId, result }) => {
    const operator = world.history.operators.find((known) => known.requestId === requestId);
    if (operator) operator.result ??= result;
  },
  appendLog: callAppend,
  readLog: callRead,
  closeListener: (_world, node) => {
    // An assignment to the fake's own field; the daemon only asked for it.
    node.listening = false;
  },
  exit: exitNode,
};

/** Carries out one effect of a daemon on the fakes. */
export const runEffect = (world: World, node: WorldNode, effect: Effect): void => {
  const runner = runners[effect.type] as Runner<Effect['type']> | undefined;
  runner?.(world, node, effect);
};
