const isoDateLength = '2026-12-04'.length;

/** Formats the UTC day of an epoch time. */
export const formatDay = (epochMs: number): string =>
  new Date(epochMs).toISOString().slice(0, isoDateLength);
