import type { GuaranteesState } from './GuaranteesState.js';

/** Creates the guarantees state with an empty plan. */
export const createGuaranteesState = (): GuaranteesState => ({
  cells: [],
  guaranteedByWorker: new Map(),
  unplaced: [],
});
