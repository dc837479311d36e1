import type { FakePlatform } from './FakePlatform.js';

/** Schedules an action after a delay of virtual time. */
export const scheduleAfter = (
  platform: FakePlatform,
  delayMs: number,
  action: () => void,
): void => {
  platform.sequence += 1;
  platform.scheduledActions.push({
    at: platform.now + delayMs,
    sequence: platform.sequence,
    action,
  });
};
