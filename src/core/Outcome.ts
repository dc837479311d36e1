/** Whether the refused work was run: certainly not, or not known. */
export type Outcome = 'not-run' | 'unknown';
