import type { ManagedProcess } from '../cluster/ManagedProcess.js';
import { waitUntil } from '../cluster/waitUntil.js';

const startTimeoutMs = 30_000;

/** Waits until a stand-in has printed the line with its port. */
export const waitForListening = async ({ name, lines }: ManagedProcess): Promise<void> => {
  await waitUntil(`${name} listens`, startTimeoutMs, () => {
    const line = lines.find((text) => text.includes('"listening"'));
    // Shown at the limit: why the process has ended.
    if (line === undefined) throw new Error(lines.join(' '));
    return line;
  });
};
