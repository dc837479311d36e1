import type { GuaranteesState } from './GuaranteesState.js';

/** Creates an empty plan. */
export const createGuaranteesState = (): GuaranteesState => ({
  cells: [],
  cellsByWorker: new Map(),
  unplaced: [],
});
