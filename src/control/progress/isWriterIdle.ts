import type { StreamWriter } from './StreamWriter.js';

/** Whether no append to the stream is pending or queued. */
export const isWriterIdle = ({ pending, queued }: StreamWriter): boolean =>
  pending === null && queued.length === 0;
