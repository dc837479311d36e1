import { errorCatalogue } from './errorCatalogue.js';
import { outcomeTexts } from './outcomeTexts.js';
import type { Problem } from './Problem.js';
import type { Refusal } from './Refusal.js';

/** Ends a detail as a sentence, because another one follows it. */
const finishSentence = (text: string): string => (/[.!?]$/.test(text) ? text : `${text}.`);

/** Translates a refusal into the problem object that callers and operators read. */
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
    // A hint written for one outcome could invite a second run under the other.
    hint: refusal.outcome === entry.outcome ? entry.hint : texts.hint,
    requestId,
  };
};
