import type { CallerRecord } from '../simulation/CallerRecord.js';
import type { Property } from './Property.js';

const checkCaller = ({ requestId, responses }: CallerRecord): string | null => {
  const answers = responses.filter((response) => response.type === 'answer');
  const foreign = answers.find((answer) => answer.servedRequestId !== requestId);
  if (foreign) return `${requestId} got the answer of ${foreign.servedRequestId ?? 'no request'}`;
  const [first, ...more] = responses;
  // Only a reset may follow, and only after an incomplete answer.
  const incomplete = first?.type === 'answer' && !first.complete;
  const allowedResets = incomplete ? 1 : 0;
  const invalid = more.length > allowedResets || more.some((response) => response.type !== 'reset');
  if (!invalid) return null;
  return `${requestId} got ${responses.map((response) => response.type).join(', ')}`;
};

/** P3: each caller gets at most one answer, its own, and nothing after it. */
export const checkAnswer: Property = ({ history }) =>
  [...history.callers.values()].map(checkCaller).find((fault) => fault !== null) ?? null;
