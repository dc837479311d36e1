/** Time of day at the start of the virtual time, in epoch milliseconds. */
export const epochWall = 1_700_000_000_000;
