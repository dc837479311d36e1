import type { Term } from '../lead/Term.js';
import type { StreamWriter } from './StreamWriter.js';

/** Finds the writer whose pending append has this call ID. */
export const findWriter = ({ writers }: Term, appendId: number): StreamWriter | null =>
  Object.values(writers).find(({ pending }) => pending?.appendId === appendId) ?? null;
