import type { GuaranteeCell } from './GuaranteeCell.js';
import type { ShapeId } from './ShapeId.js';

/** Places of guaranteed shapes, and the shapes for which no place was found. */
export interface GuaranteePlan {
  cells: GuaranteeCell[];
  unplaced: ShapeId[];
}
