import type { Adjacency } from '../settings/Adjacency.js';
import { computeCellLayout } from './computeCellLayout.js';
import type { ZoneShape } from './ZoneShape.js';

const adjacencyOrder: Record<Adjacency, number> = { worker: 0, rack: 1, zone: 2 };

/**
 * Compares shapes by the order of placement: largest cell first, then closest adjacency, then most
 * workers. Small shapes fit into the space that large ones leave, but not the other way round.
 */
export const compareShapes = (a: ZoneShape, b: ZoneShape): number =>
  computeCellLayout(b.spec).accelerators - computeCellLayout(a.spec).accelerators ||
  adjacencyOrder[a.spec.adjacency] - adjacencyOrder[b.spec.adjacency] ||
  b.spec.workers - a.spec.workers;
