import type { Property } from './Property.js';

const boundMs = 5000;

/** P6: no worker starts a request more than 5 s after it began to leave. */
export const checkLeaving: Property = ({ history, workers }) => {
  const late = history.requestRuns.find(({ workerId, at }) => {
    const leftAt = workers.get(workerId)?.leftAt ?? null;
    return leftAt !== null && at > leftAt + boundMs;
  });
  return late
    ? `${late.workerId} got ${late.attemptId} more than ${boundMs} ms after it began to leave`
    : null;
};
