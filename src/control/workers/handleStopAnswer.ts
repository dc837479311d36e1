import type { AnswerHandler } from './AnswerHandler.js';

/** Takes over the answer to a stop; the run is over when a later listing shows it no more. */
export const handleStopAnswer: AnswerHandler = (_state, _term, worker, event) => {
  const { answer, call } = event;
  if (call.type !== 'stop') return [];
  const task = worker.tasks.get(call.task);
  if (task?.run !== call.run || answer.type !== 'done') return [];
  task.confirmedAt = event.at;
  return [];
};
