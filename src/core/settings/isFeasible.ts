import type { GuaranteeShape } from './GuaranteeShape.js';
import type { SettingsTree } from './SettingsTree.js';

interface Slot {
  id: string;
  rack: string;
  free: number;
}

const compareText = (a: string, b: string): number => (a < b ? -1 : Number(a > b));

const listShapes = (tree: SettingsTree): GuaranteeShape[] =>
  Object.values(tree.teams)
    .flatMap((team) => Object.entries(team.workspaces))
    .sort(([a], [b]) => compareText(a, b))
    .flatMap(([, workspace]) => workspace.guarantees);

const listSlots = (tree: SettingsTree, zone: string): Slot[] =>
  // A drained worker counts: an operator who drains a lost rack must not be refused because the
  // guarantees do not fit without it.
  Object.entries(tree.zones[zone]?.workers ?? {})
    .map(([id, worker]) => ({ id, rack: worker.rack, free: worker.accelerators }))
    .sort((a, b) => compareText(a.id, b.id));

const placeOn = (slots: Slot[], count: number, accelerators: number): boolean => {
  const fitting = slots
    .filter((slot) => slot.free >= accelerators)
    .sort((a, b) => a.free - b.free)
    .slice(0, count);
  if (fitting.length < count) return false;
  fitting.forEach((slot) => {
    slot.free -= accelerators;
  });
  return true;
};

const placeShape = (slots: Slot[], shape: GuaranteeShape): boolean => {
  const { workers, acceleratorsPerWorker, adjacency } = shape;
  if (adjacency === 'worker') return placeOn(slots, 1, workers * acceleratorsPerWorker);
  if (adjacency === 'zone') return placeOn(slots, workers, acceleratorsPerWorker);
  const racks = [...new Set(slots.map((slot) => slot.rack))].sort(compareText);
  return racks.some((rack) =>
    placeOn(
      slots.filter((slot) => slot.rack === rack),
      workers,
      acceleratorsPerWorker,
    ),
  );
};

const adjacencyOrder = { worker: 0, rack: 1, zone: 2 } as const;

/**
 * Checks that all guaranteed shapes fit into the registered workers at once. Every VM must reach
 * the same verdict, so the order of placement depends on names and sizes only.
 */
export const isFeasible = (tree: SettingsTree): boolean => {
  const slotsByZone = new Map<string, Slot[]>();
  const getSlots = (zone: string): Slot[] => {
    const slots = slotsByZone.get(zone) ?? listSlots(tree, zone);
    slotsByZone.set(zone, slots);
    return slots;
  };
  return listShapes(tree)
    .sort(
      (a, b) =>
        adjacencyOrder[a.adjacency] - adjacencyOrder[b.adjacency] ||
        b.acceleratorsPerWorker - a.acceleratorsPerWorker ||
        b.workers - a.workers,
    )
    .every((shape) => placeShape(getSlots(shape.zone), shape));
};
