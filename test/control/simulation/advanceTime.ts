import type { FakePlatform } from './FakePlatform.js';

/** Advances virtual time and runs the actions that are due, in order. */
export const advanceTime = (platform: FakePlatform, durationMs: number): void => {
  const until = platform.now + durationMs;
  for (;;) {
    let nextIndex = -1;
    platform.scheduledActions.forEach((item, index) => {
      const earliest = platform.scheduledActions[nextIndex];
      if (
        !earliest ||
        item.at < earliest.at ||
        (item.at === earliest.at && item.sequence < earliest.sequence)
      )
        nextIndex = index;
    });
    const next = platform.scheduledActions[nextIndex];
    if (!next || next.at > until) break;
    platform.scheduledActions.splice(nextIndex, 1);
    platform.now = Math.max(platform.now, next.at);
    next.action();
  }
  platform.now = until;
};
