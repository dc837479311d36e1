import { findTask } from '../plans/findTask.js';
import { markJobRunning } from '../plans/markJobRunning.js';
import { markRunning } from '../runs/markRunning.js';
import { handleRefusedStart } from '../runs/handleRefusedStart.js';
import { stopTask } from '../runs/stopTask.js';
import type { AnswerHandler } from './AnswerHandler.js';

/** Handles the answer to a start. */
export const handleStartAnswer: AnswerHandler = (_state, term, worker, event) => {
  const { answer, call } = event;
  if (call.type !== 'start') return [];
  const task = worker.tasks.get(call.task);
  if (task?.run !== call.run || task.state !== 'starting') return [];
  if (answer.type === 'done') {
    markRunning(task, event);
    task.confirmedAt = event.at;
    return [
      ...markJobRunning(term, task, event),
      { type: 'observe', name: 'start_order_ms', ms: event.at - event.sentAt },
      { type: 'count', name: 'runs_started', reason: 'ok' },
    ];
  }
  if (answer.type === 'refused')
    return handleRefusedStart(term, worker, task, answer.reason, event);
  // The other members of a gang wait for this one only for a limited time, so the gang restarts as a
  // whole.
  const step = findTask(term, task)?.step;
  if (step?.definition.gang) term.incompleteGangs.add(step);
  return stopTask(term, task, 'start-unanswered', event);
};
