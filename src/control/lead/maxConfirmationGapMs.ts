/** Longest time between successful appends of a leader that the store serves well: a heartbeat and a slow answer. */
export const maxConfirmationGapMs = 1000;
