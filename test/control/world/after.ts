import type { Office } from './Office.js';

/** Schedules an action after a delay of virtual time. */
export const after = (office: Office, delayMs: number, action: () => void): void => {
  office.order += 1;
  office.queue.push({ at: office.now + delayMs, order: office.order, action });
};
