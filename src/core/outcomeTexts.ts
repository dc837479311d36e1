import type { Outcome } from './Outcome.js';

/** For each outcome, a statement about the work, and a hint for when the reason's does not apply. */
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
