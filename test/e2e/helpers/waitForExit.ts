import { setTimeout } from 'node:timers/promises';
import type { ManagedProcess } from '../../../tools/cluster/ManagedProcess.js';

/** Waits until a process exits; returns its exit code or signal, or `late` after the limit. */
export const waitForExit = (child: ManagedProcess, limitMs: number): Promise<number | string> =>
  // The timer outlives the wait; with a reference it would keep the process of jest alive.
  Promise.race([child.exited, setTimeout(limitMs, 'late', { ref: false })]);
