/** Formats epoch milliseconds as a UTC time in ISO 8601; an absent time is `-`. */
export const formatTimestamp = (epochMs: number | null | undefined): string =>
  epochMs === undefined || epochMs === null ? '-' : new Date(epochMs).toISOString();
