import type { Simulation } from './Simulation.js';

interface Place {
  id: string;
  zone: string;
}

/** Returns the true time at which contact between two machines returns, or null if they have it. */
export const findPartitionEnd = (simulation: Simulation, a: Place, b: Place): number | null => {
  const isOn = (side: readonly string[], place: Place): boolean =>
    side.includes(place.id) || side.includes(place.zone);
  const ends = simulation.partitions
    .filter((cut) => cut.endsAt > simulation.now)
    .filter(
      ({ sides: [one, other] }) =>
        (isOn(one, a) && isOn(other, b)) || (isOn(one, b) && isOn(other, a)),
    )
    .map((cut) => cut.endsAt);
  return ends.length === 0 || a.id === b.id ? null : Math.max(...ends);
};
