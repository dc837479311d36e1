import type { Effect } from '../../../src/core/Effect.js';
import { abortAttempt } from './abortAttempt.js';
import { recordCallerResponse } from './recordCallerResponse.js';
import { sendLogAppend } from './sendLogAppend.js';
import { sendLogRead } from './sendLogRead.js';
import { callWorker } from './callWorker.js';
import { dispatchAttempt } from './dispatchAttempt.js';
import { exitNode } from './exitNode.js';
import { relayAnswer } from './relayAnswer.js';
import { sendMessage } from './sendMessage.js';
import type { Simulation } from './Simulation.js';
import type { SimulatedNode } from './SimulatedNode.js';

type Runner<T extends Effect['type']> = (
  simulation: Simulation,
  node: SimulatedNode,
  effect: Extract<Effect, { type: T }>,
) => void;

type Runners = { readonly [T in Effect['type']]?: Runner<T> };

const runners: Runners = {
  send: (simulation, node, { to, message }) => sendMessage(simulation, node, to, message),
  callWorker,
  dispatchAttempt,
  relayAnswer,
  abortAttempt,
  refuseCaller: (simulation, _node, { requestId, refusal }) =>
    recordCallerResponse(simulation, requestId, { type: 'refusal', at: simulation.now, refusal }),
  resetCaller: (simulation, _node, { requestId }) =>
    recordCallerResponse(simulation, requestId, {
      type: 'reset',
      at: simulation.now,
      byGateway: true,
    }),
  answerCommand: (simulation, _node, { requestId, result }) => {
    const operator = simulation.history.proposals.find((known) => known.requestId === requestId);
    if (operator) operator.result ??= result;
  },
  appendLog: sendLogAppend,
  readLog: sendLogRead,
  closeListener: (_simulation, node) => {
    node.listening = false;
  },
  exit: exitNode,
};

/** Executes one effect of a daemon on the fakes. */
export const runEffect = (simulation: Simulation, node: SimulatedNode, effect: Effect): void => {
  const runner = runners[effect.type] as Runner<Effect['type']> | undefined;
  runner?.(simulation, node, effect);
};
