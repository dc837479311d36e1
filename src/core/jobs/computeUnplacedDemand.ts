import type { State } from '../State.js';
import { findWorkspaceSettings } from './findWorkspaceSettings.js';

/** Sums the accelerators of the unplaced shapes of other workspaces. Cost: O(unplaced shapes). */
export const computeUnplacedDemand = (state: State, workspace: string): number =>
  state.guarantees.unplaced
    .filter((unplaced) => unplaced.workspace !== workspace)
    .reduce((sum, unplaced) => {
      const shape = findWorkspaceSettings(state, unplaced.workspace)?.guarantees[unplaced.shape];
      return sum + (shape ? shape.workers * shape.acceleratorsPerWorker : 0);
    }, 0);
