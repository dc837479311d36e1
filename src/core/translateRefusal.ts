import { errorCatalogue } from './errorCatalogue.js';
import { outcomeTexts } from './outcomeTexts.js';
import type { Problem } from './Problem.js';
import type { Refusal } from './Refusal.js';

/** Adds a missing full stop, because another sentence follows. */
const finishSentence = (text: string): string => (/[.!?]$/.test(text) ? text : `${text}.`);

/** Converts a refusal into the problem object for callers and operators. */
export const translateRefusal = (refusal: Refusal, requestId: string): Problem => {
  const entry = errorCatalogue[refusal.reason];
  const texts = outcomeTexts[refusal.outcome];
  return {
    type: `urn:siskinhollow:problem:${refusal.reason}`,
    title: entry.title,
    status: entry.status,
    detail: `${finishSentence(refusal.detail ?? entry.message)} ${texts.statement}`,
    code: refusal.reason,
    outcome: refusal.outcome,
    // The reason's hint assumes its usual outcome; after another, it could lead to a second run.
    hint: refusal.outcome === entry.outcome ? entry.hint : texts.hint,
    requestId,
  };
};
