import type { FakePlatform } from './FakePlatform.js';

/** Schedules an action after a delay of virtual time. */
export const scheduleAfter = (
  platform: FakePlatform,
  delayMs: number,
  action: () => void,
): void => {
  const { scheduledActions } = platform;
  const at = platform.now + delayMs;
  let low = 0;
  let high = scheduledActions.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (scheduledActions[middle]!.at <= at) low = middle + 1;
    else high = middle;
  }
  scheduledActions.splice(low, 0, { at, action });
};
