import type { GuaranteeCell } from './GuaranteeCell.js';
import type { ShapeId } from './ShapeId.js';

/** Cells of the guaranteed shapes, and the shapes that could not be placed. */
export interface GuaranteePlan {
  cells: GuaranteeCell[];
  unplaced: ShapeId[];
}
