import type { LogRecord } from '../log/LogRecord.js';

/** Tells whether a record of the `settings` stream is a copy of the whole tree. */
export const isTreeRecord = ({ data }: LogRecord): boolean =>
  typeof data === 'object' && data !== null && 'kind' in data && data.kind === 'tree';
