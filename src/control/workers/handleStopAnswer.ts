import type { AnswerHandler } from './AnswerHandler.js';

/** Handles the answer to a stop; the run is over once a later listing no longer contains it. */
export const handleStopAnswer: AnswerHandler = (_state, _term, worker, event) => {
  const { answer, call } = event;
  if (call.type !== 'stop') return [];
  const task = worker.tasks.get(call.task);
  if (task?.run !== call.run || answer.type !== 'done') return [];
  task.confirmedAt = event.at;
  return [];
};
