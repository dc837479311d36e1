import type { Outcome } from './Outcome.js';

/** What each outcome tells the caller, and the hint that replaces a reason's own when it differs. */
export const outcomeTexts: Readonly<Record<Outcome, { statement: string; hint: string }>> = {
  'not-run': {
    statement: 'The work was not run.',
    hint: 'It is safe to send the work again.',
  },
  unknown: {
    statement: 'It is not known whether the work was run.',
    hint: 'Check whether the work took effect before it is sent again.',
  },
};
