import type { Property } from './Property.js';

/** P4: no worker ever runs a request that was refused as not run. */
export const checkRefusal: Property = ({ history }) => {
  const refused = new Set(
    [...history.callers.values()]
      .filter(({ responses }) =>
        responses.some(
          (response) => response.type === 'refusal' && response.refusal.outcome === 'not-run',
        ),
      )
      .map(({ requestId }) => requestId),
  );
  const run = history.requestRuns.find(({ requestId }) => refused.has(requestId));
  return run ? `${run.requestId} was refused as not run, but ${run.workerId} ran it` : null;
};
