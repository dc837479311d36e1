import type { Term } from '../lead/Term.js';
import type { StreamWriter } from './StreamWriter.js';

/** Finds the writer whose open append has this number. */
export const findWriter = ({ writers }: Term, appendId: number): StreamWriter | null =>
  Object.values(writers).find(({ pending: write }) => write?.appendId === appendId) ?? null;
