import type { AnswerMerge } from './AnswerMerge.js';

type Merger = (answers: Record<string, unknown>) => unknown;

const mergers: Record<AnswerMerge, Merger> = {
  single: (answers) => Object.values(answers)[0],
  concatenate: (answers) => Object.values(answers).flat(),
  'by-zone': (answers) => ({ zones: answers }),
};

/** Merges the data of the answers, which are keyed by zone. */
export const mergeAnswers = (merge: AnswerMerge, answers: Record<string, unknown>): unknown =>
  mergers[merge](answers);
