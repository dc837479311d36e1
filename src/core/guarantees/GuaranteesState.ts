import type { GuaranteeCell } from './GuaranteeCell.js';

/** The plan that maps each guaranteed shape of the zone to workers. */
export interface GuaranteesState {
  cells: GuaranteeCell[];
  /** Guaranteed accelerators of each worker, by workspace; rebuilt with the plan. */
  guaranteedByWorker: Map<string, Map<string, number>>;
  /** Shapes without a place, with the time since when. */
  unplaced: { workspace: string; shape: number; sinceWall: number }[];
}
