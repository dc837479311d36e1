const millisecondsPerHour = 3_600_000;

/** Formats milliseconds as hours; six decimals are 3.6 ms, finer than the recorded times. */
export const formatHours = (durationMs: number): string =>
  (durationMs / millisecondsPerHour).toFixed(6);
