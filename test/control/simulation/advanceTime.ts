import type { FakePlatform } from './FakePlatform.js';

/** Advances virtual time and runs the actions that are due, in order. */
export const advanceTime = (platform: FakePlatform, durationMs: number): void => {
  const { scheduledActions } = platform;
  const until = platform.now + durationMs;
  while (scheduledActions[0] && scheduledActions[0].at <= until) {
    const next = scheduledActions.shift()!;
    platform.now = Math.max(platform.now, next.at);
    next.action();
  }
  platform.now = until;
};
