/** Time of day at the start of the virtual time, in epoch milliseconds. */
export const simulationStartMs = 1_700_000_000_000;
