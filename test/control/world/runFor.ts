import type { Office } from './Office.js';

/** Lets virtual time pass. */
export const runFor = (office: Office, durationMs: number): void => {
  const until = office.now + durationMs;
  for (;;) {
    let first = -1;
    office.queue.forEach((item, index) => {
      const best = office.queue[first];
      if (!best || item.at < best.at || (item.at === best.at && item.order < best.order))
        first = index;
    });
    const next = office.queue[first];
    if (!next || next.at > until) break;
    office.queue.splice(first, 1);
    office.now = Math.max(office.now, next.at);
    next.action();
  }
  office.now = until;
};
