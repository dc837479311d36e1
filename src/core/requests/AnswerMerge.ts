/** How the answers of several zones become one. */
export type AnswerMerge = 'single' | 'concatenate' | 'by-zone';
