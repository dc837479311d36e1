const dayLength = '2026-12-04'.length;

/** Formats the day in UTC of an epoch time in milliseconds. */
export const formatDay = (wall: number): string => new Date(wall).toISOString().slice(0, dayLength);
