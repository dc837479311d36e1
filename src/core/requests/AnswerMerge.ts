/** How the answers of several zones are merged into one. */
export type AnswerMerge = 'single' | 'concatenate' | 'by-zone';
