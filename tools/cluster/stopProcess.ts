import type { ManagedProcess } from './ManagedProcess.js';
import { waitMs } from './waitMs.js';

/** Sends a signal to a process; if it does not exit in time, kills it and returns `late`. */
export const stopProcess = async (
  child: ManagedProcess,
  signal: NodeJS.Signals,
  limitMs: number,
): Promise<number | string> => {
  child.signal(signal);
  const exit = await Promise.race([child.exited, waitMs(limitMs).then(() => 'late')]);
  if (exit === 'late') {
    child.signal('SIGKILL');
    await child.exited;
  }
  return exit;
};
