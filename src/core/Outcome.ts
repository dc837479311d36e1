/** What a refusal says about the work: proved not run, or not known. */
export type Outcome = 'not-run' | 'unknown';
