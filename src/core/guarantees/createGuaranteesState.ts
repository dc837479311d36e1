import type { GuaranteesState } from './GuaranteesState.js';

/** Creates an empty plan. */
export const createGuaranteesState = (): GuaranteesState => ({
  cells: [],
  guaranteedByWorker: new Map(),
  unplaced: [],
});
