import type { World } from './World.js';

interface Place {
  id: string;
  zone: string;
}

/** Returns the true time at which contact between two machines returns, or null if they have it. */
export const findCutEnd = (world: World, a: Place, b: Place): number | null => {
  const isOn = (side: readonly string[], place: Place): boolean =>
    side.includes(place.id) || side.includes(place.zone);
  const ends = world.cuts
    .filter((cut) => cut.until > world.now)
    .filter(
      ({ sides: [one, other] }) =>
        (isOn(one, a) && isOn(other, b)) || (isOn(one, b) && isOn(other, a)),
    )
    .map((cut) => cut.until);
  return ends.length === 0 || a.id === b.id ? null : Math.max(...ends);
};
