const millisecondsPerHour = 3_600_000;

/** Formats milliseconds as hours; six decimals are 3.6 ms, below the accuracy of the record. */
export const formatHours = (durationMs: number): string =>
  (durationMs / millisecondsPerHour).toFixed(6);
