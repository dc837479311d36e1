import { request } from 'undici';
import { z } from 'zod';
import type { UntimedEvent } from '../../core/UntimedEvent.js';

const pollIntervalMs = 1000;
const pollTimeoutMs = 2000;

const vmListSchema = z.looseObject({
  vms: z.array(z.looseObject({ id: z.string(), state: z.enum(['live', 'leaving']) })),
});

const fetchVms = async (url: string): Promise<z.output<typeof vmListSchema>['vms']> => {
  const { body } = await request(new URL('/vms', url), {
    signal: AbortSignal.timeout(pollTimeoutMs),
  });
  return vmListSchema.parse(await body.json()).vms;
};

/**
 * Polls the platform's VM list; returns a function that stops this. While polls fail, the last list
 * stays in use.
 */
export const startVmListPoll = (url: string, push: (event: UntimedEvent) => void): (() => void) => {
  let pollInFlight = false;
  const poll = async (): Promise<void> => {
    if (pollInFlight) return;
    pollInFlight = true;
    try {
      const vms = await fetchVms(url);
      push({ type: 'vmsListed', vms: vms.map(({ id, state }) => ({ id, state })) });
    } catch {
      // The list is advisory and has outages; the next poll tries again.
    } finally {
      pollInFlight = false;
    }
  };
  const timer = setInterval(() => {
    poll().catch(() => undefined);
  }, pollIntervalMs);
  return () => clearInterval(timer);
};
