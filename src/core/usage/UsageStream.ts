import type { LogStream } from '../log/LogStream.js';

/** Log streams to which recorders append the records of daemons. */
export type UsageStream = Extract<LogStream, 'usage' | 'jobs'>;
