/** Settings of a relay that forwards everything at once. */
export const noRelayFaults = { cut: false, cutMode: 'freeze', cutSide: 'both', delayMs: 0 };
