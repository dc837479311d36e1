const isoDateLength = '2026-12-04'.length;

/** Formats the day in UTC of an epoch time in milliseconds. */
export const formatDay = (epochMs: number): string =>
  new Date(epochMs).toISOString().slice(0, isoDateLength);
