import { waitUntil } from '../cluster/waitUntil.js';
import type { DemoContext } from './DemoContext.js';
import { showJob } from './showJob.js';

/** Waits until a job is in the given state; returns the job. */
export const waitForState = (
  context: DemoContext,
  workspace: string,
  name: string,
  state: string,
  limitMs: number,
): Promise<NonNullable<Awaited<ReturnType<typeof showJob>>>> =>
  waitUntil(`job ${name} is ${state}`, limitMs, async () => {
    const job = await showJob(context, workspace, name);
    return job?.state === state ? job : undefined;
  });
