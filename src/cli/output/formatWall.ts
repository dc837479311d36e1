/** Formats epoch milliseconds as a UTC time. */
export const formatWall = (wall: number | undefined): string =>
  wall === undefined ? '-' : new Date(wall).toISOString();
