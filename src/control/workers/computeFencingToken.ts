import type { Term } from '../lead/Term.js';
import type { Worker } from './Worker.js';

// More than a worker restarts within a term.
const tokensPerTerm = 1000;

/**
 * Computes the fencing token of calls to a worker. It rises with the term and, within a term, with each incarnation of the
 * worker: the new one then refuses the calls to the former one that arrive late.
 */
export const computeFencingToken = (
  { token }: Term,
  { restarts }: Pick<Worker, 'restarts'>,
): number => token * tokensPerTerm + Math.min(restarts, tokensPerTerm - 1);
