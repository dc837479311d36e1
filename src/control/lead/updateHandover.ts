import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { maxConfirmationGapMs } from './maxConfirmationGapMs.js';
import type { Term } from './Term.js';

// A read that waits for a heartbeat, one that is lost, and its retry, each with a slow answer.
const maxUnreadMs = 2700;

/** Whether the store serves this VM's appends, but not its reads of the journal. */
const isReadingImpaired = (state: State, term: Term, now: Now): boolean => {
  // A pause of this VM, or an outage of the store, stops appends too.
  if (now.at - term.confirmedAt > maxConfirmationGapMs) return false;
  const unreadSince = Math.max(term.steadySince, state.streams.journal.endReadSentAt);
  return now.at - unreadSince > maxUnreadMs;
};

/**
 * Offers to hand over when this VM can't read the journal and so doesn't know which jobs were cancelled, and withdraws the
 * offer when it reads again. It can't tell whether other VMs can read: it leads on and renews leases until one of them,
 * which has read the offer, fences it out.
 */
export const updateHandover = (state: State, term: Term, now: Now): Effect[] => {
  const { journal } = state.streams;
  const unreadMs = Math.round(now.at - journal.endReadSentAt);
  const fields = { token: term.token, unreadMs, next: journal.nextOffset };
  if (term.handover === 'none' && isReadingImpaired(state, term, now)) {
    term.handover = 'announcing';
    return [{ type: 'log', level: 'warn', code: 'lead_offered', fields }];
  }
  if (term.handover === 'offered' && unreadMs <= maxUnreadMs) {
    term.handover = 'withdrawing';
    return [{ type: 'log', level: 'info', code: 'lead_kept', fields }];
  }
  return [];
};
