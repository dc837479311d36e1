/** Timeout of start and stop calls; a worker answers within a few milliseconds. */
export const orderTimeoutMs = 900;
