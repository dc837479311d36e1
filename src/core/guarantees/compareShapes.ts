import type { Adjacency } from '../settings/Adjacency.js';
import { computeCellLayout } from './computeCellLayout.js';
import type { ZoneShape } from './ZoneShape.js';

const adjacencyOrder: Record<Adjacency, number> = { worker: 0, rack: 1, zone: 2 };

/**
 * Orders shapes for planning: largest block on one worker first, then most adjacent, then largest.
 * Small shapes fit into what large ones leave, but not the other way round.
 */
export const compareShapes = (a: ZoneShape, b: ZoneShape): number =>
  computeCellLayout(b.spec).accelerators - computeCellLayout(a.spec).accelerators ||
  adjacencyOrder[a.spec.adjacency] - adjacencyOrder[b.spec.adjacency] ||
  b.spec.workers - a.spec.workers;
