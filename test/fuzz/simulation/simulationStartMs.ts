/** Wall clock of all machines and of the log at simulation time 0, in epoch milliseconds. */
export const simulationStartMs = 1_700_000_000_000;
