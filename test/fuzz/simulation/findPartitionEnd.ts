import type { Simulation } from './Simulation.js';

interface Location {
  id: string;
  zone: string;
}

/** Finds the simulation time at which a partition of two machines ends; null if there is none. */
export const findPartitionEnd = (
  simulation: Simulation,
  a: Location,
  b: Location,
): number | null => {
  const isOnSide = (side: readonly string[], location: Location): boolean =>
    side.includes(location.id) || side.includes(location.zone);
  const ends = simulation.partitions
    .filter((partition) => partition.endsAt > simulation.now)
    .filter(
      ({ sides: [one, other] }) =>
        (isOnSide(one, a) && isOnSide(other, b)) || (isOnSide(one, b) && isOnSide(other, a)),
    )
    .map((partition) => partition.endsAt);
  return ends.length === 0 || a.id === b.id ? null : Math.max(...ends);
};
