import type { Term } from '../lead/Term.js';
import type { LeadWriter } from './LeadWriter.js';

/** Finds the writer whose open append has this number. */
export const findWriter = ({ writers }: Term, appendId: number): LeadWriter | null =>
  Object.values(writers).find(({ write }) => write?.appendId === appendId) ?? null;
