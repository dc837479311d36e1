import type { Now } from '../Now.js';
import { maxUnconfirmedMs } from './maxUnconfirmedMs.js';
import type { Term } from './Term.js';

/** Whether the store has confirmed recently enough that this VM leads, so that it may grant leases. */
export const isLeadConfirmed = ({ confirmedAt }: Term, now: Now): boolean =>
  now.at - confirmedAt <= maxUnconfirmedMs;
