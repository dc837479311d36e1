import { setTimeout } from 'node:timers/promises';
import type { ManagedProcess } from '../../../tools/cluster/ManagedProcess.js';

/** Waits until a process ends; returns its exit code or signal, or `late`. */
export const waitForExit = (child: ManagedProcess, limitMs: number): Promise<number | string> =>
  // Without a reference, as the timer outlives the wait and would delay the end of the tests.
  Promise.race([child.exited, setTimeout(limitMs, 'late', { ref: false })]);
