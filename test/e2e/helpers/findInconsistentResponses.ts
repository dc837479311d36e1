import type { JournalEntry } from './JournalEntry.js';
import type { SentRequest } from './SentRequest.js';

/** Whether a request that workers started `starts` times shows the fault. */
type Check = (request: SentRequest, starts: number) => boolean;

const faults: Record<string, Check> = {
  'non-idempotent request ran twice': ({ method }, starts) => method === 'POST' && starts > 1,
  'refused as not-run but ran': ({ outcome }, starts) => outcome === 'not-run' && starts > 0,
  'successful response but never ran': ({ status }, starts) => status === 200 && starts === 0,
  'response of another request': ({ status, path, servedPath }) =>
    status === 200 && servedPath !== path,
};

/** Lists every request whose response contradicts the workers' journals. */
export const findInconsistentResponses = (
  requests: SentRequest[],
  journal: JournalEntry[],
): { fault: string; request: SentRequest; starts: number }[] => {
  const startsByPath = new Map<string, number>();
  journal.forEach((line) => {
    if (line.kind !== 'requestStarted') return;
    startsByPath.set(line.path, (startsByPath.get(line.path) ?? 0) + 1);
  });
  return requests.flatMap((request) => {
    const starts = startsByPath.get(request.path) ?? 0;
    return Object.entries(faults).flatMap(([fault, check]) =>
      check(request, starts) ? [{ fault, request, starts }] : [],
    );
  });
};
