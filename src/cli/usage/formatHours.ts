const millisecondsPerHour = 3_600_000;

/** Formats milliseconds as hours; the sixth decimal is 3.6 ms, below the accuracy of records. */
export const formatHours = (durationMs: number): string =>
  (durationMs / millisecondsPerHour).toFixed(6);
