import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { HandlerTable } from '../HandlerTable.js';
import { endTerm } from '../lead/endTerm.js';
import type { State } from '../State.js';
import type { AnswerHandler } from './AnswerHandler.js';
import { computeFencingToken } from './computeFencingToken.js';
import { handlePollAnswer } from './handlePollAnswer.js';
import { handleStartAnswer } from './handleStartAnswer.js';
import { handleStopAnswer } from './handleStopAnswer.js';
import type { WorkerCall } from './WorkerCall.js';

const answerHandlers: Record<WorkerCall['type'], AnswerHandler> = {
  poll: handlePollAnswer,
  start: handleStartAnswer,
  stop: handleStopAnswer,
};

const handleAnswer = (state: State, event: EventOf<'workerAnswered'>): Effect[] => {
  const { term } = state;
  const worker = term?.workers.get(event.workerId);
  // An answer to a call of a former term, or to a former incarnation of the worker, decides nothing.
  if (!term || !worker || event.token !== computeFencingToken(term, worker)) return [];
  if (event.answer.type === 'refused' && event.answer.reason === 'fenced') {
    return endTerm(state, 'worker-fenced', event);
  }
  return answerHandlers[event.call.type](state, term, worker, event);
};

/** Handle the answers of workers. */
export const workersHandlers: HandlerTable = { workerAnswered: handleAnswer };
