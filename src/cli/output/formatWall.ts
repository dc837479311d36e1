/** Formats epoch milliseconds as a UTC time. */
export const formatWall = (wall: number | null | undefined): string =>
  wall === undefined || wall === null ? '-' : new Date(wall).toISOString();
