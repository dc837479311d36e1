/** Timeout of start and stop calls; a worker answers them within a few milliseconds. */
export const commandTimeoutMs = 900;
