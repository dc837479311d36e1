import type { ManagedProcess } from './ManagedProcess.js';
import { waitMs } from './waitMs.js';

/** Stops a process with a signal, and kills it by its id when it does not end in time. */
export const stopProcess = async (
  child: ManagedProcess,
  signal: NodeJS.Signals,
  limitMs: number,
): Promise<number | string> => {
  child.signal(signal);
  const ended = await Promise.race([child.exited, waitMs(limitMs).then(() => 'late')]);
  if (ended === 'late') {
    child.signal('SIGKILL');
    await child.exited;
  }
  return ended;
};
