import { write } from 'node:fs';
import type { LineWriter } from './LineWriter.js';

// Limits the memory for lines that a slow reader has not taken; more are dropped and counted.
const maxQueuedChars = 1_000_000;
// Batches several lines into one system call.
const flushIntervalMs = 50;

/** Creates a writer to a file descriptor that drops lines instead of waiting for a slow reader. */
export const createLineWriter = (fd: number): LineWriter => {
  let queued: string[] = [];
  let queuedChars = 0;
  let droppedLines = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | null = null;
  let onFlushed: (() => void) | null = null;

  const takeQueued = (): string => {
    if (droppedLines > 0)
      queued.push(`{"level":"warn","code":"log_lines_dropped","count":${droppedLines}}\n`);
    const text = queued.join('');
    queued = [];
    queuedChars = 0;
    droppedLines = 0;
    return text;
  };
  const writeBuffer = (buffer: Buffer): void => {
    // Asynchronous, so that a full pipe blocks a thread of libuv's pool, not the event loop.
    write(fd, buffer, (error, written) => {
      if (!error && written < buffer.length) {
        writeBuffer(buffer.subarray(written));
        return;
      }
      isWriting = false;
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      writeQueued();
    });
  };
  const writeQueued = (): void => {
    timer = null;
    if (isWriting) return;
    if (queued.length === 0) {
      onFlushed?.();
      return;
    }
    isWriting = true;
    writeBuffer(Buffer.from(takeQueued()));
  };
  return {
    write: (line) => {
      if (queuedChars + line.length > maxQueuedChars) {
        droppedLines += 1;
        return;
      }
      queued.push(line);
      queuedChars += line.length;
      timer ??= setTimeout(writeQueued, flushIntervalMs);
    },
    flush: (done) => {
      onFlushed = done;
      writeQueued();
    },
  };
};
