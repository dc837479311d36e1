import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { CallerAnswer } from './CallerAnswer.js';

/** Answers a request and counts the answer. */
export const answerCaller = (state: State, requestId: number, answer: CallerAnswer): Effect[] => {
  state.callers.openRequests.delete(requestId);
  const reason = answer.type === 'refused' ? answer.reason : answer.type;
  return [
    { type: 'answerCaller', requestId, answer },
    { type: 'count', name: 'answers', reason },
  ];
};
