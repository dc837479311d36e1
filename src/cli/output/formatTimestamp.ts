/** Formats epoch milliseconds as a UTC time. */
export const formatTimestamp = (epochMs: number | null | undefined): string =>
  epochMs === undefined || epochMs === null ? '-' : new Date(epochMs).toISOString();
