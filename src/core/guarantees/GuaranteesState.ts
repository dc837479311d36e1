import type { GuaranteeCell } from './GuaranteeCell.js';

/** The plan that maps each guaranteed shape of the zone to workers. */
export interface GuaranteesState {
  cells: GuaranteeCell[];
  /** Shapes without a place, with the time since when. */
  unplaced: { workspace: string; shape: number; sinceWall: number }[];
}
