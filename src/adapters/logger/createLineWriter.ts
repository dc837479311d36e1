import { write } from 'node:fs';
import type { LineWriter } from './LineWriter.js';

// Lines that wait for a slow reader, in characters; more are dropped and counted.
const mostWaiting = 1_000_000;
// Several lines go out with one system call.
const flushEveryMs = 50;

/** Creates a writer to a file descriptor that drops lines rather than wait for a slow reader. */
export const createLineWriter = (fd: number): LineWriter => {
  let waiting: string[] = [];
  let size = 0;
  let dropped = 0;
  let busy = false;
  let timer: NodeJS.Timeout | null = null;
  let whenEmpty: (() => void) | null = null;

  const takeWaiting = (): string => {
    if (dropped > 0)
      waiting.push(`{"level":"warn","code":"log_lines_dropped","count":${dropped}}\n`);
    const text = waiting.join('');
    waiting = [];
    size = 0;
    dropped = 0;
    return text;
  };
  const writeRest = (rest: Buffer): void => {
    // Asynchronous, so that a full pipe holds up a thread of the pool and not the loop.
    write(fd, rest, (error, written) => {
      if (!error && written < rest.length) {
        writeRest(rest.subarray(written));
        return;
      }
      busy = false;
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      writeWaiting();
    });
  };
  const writeWaiting = (): void => {
    timer = null;
    if (busy) return;
    if (waiting.length === 0) {
      whenEmpty?.();
      return;
    }
    busy = true;
    writeRest(Buffer.from(takeWaiting()));
  };
  return {
    write: (line) => {
      if (size + line.length > mostWaiting) {
        dropped += 1;
        return;
      }
      waiting.push(line);
      size += line.length;
      timer ??= setTimeout(writeWaiting, flushEveryMs);
    },
    flush: (done) => {
      whenEmpty = done;
      writeWaiting();
    },
  };
};
