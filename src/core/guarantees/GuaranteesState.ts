import type { GuaranteeCell } from './GuaranteeCell.js';

/** The current plan, which assigns the zone's guaranteed shapes to workers. */
export interface GuaranteesState {
  cells: GuaranteeCell[];
  /** Guaranteed accelerators by worker id, then workspace; an index of `cells`. */
  guaranteedByWorker: Map<string, Map<string, number>>;
  /** Shapes that could not be placed, and since when, in epoch milliseconds. */
  unplaced: { workspace: string; shape: number; sinceWall: number }[];
}
