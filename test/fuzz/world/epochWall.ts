/** Wall clock of all machines and of the log at true time 0, in epoch milliseconds. */
export const epochWall = 1_700_000_000_000;
