/** Longest wait for the answer to an order, in milliseconds; a worker answers within a few. */
export const orderTimeoutMs = 900;
