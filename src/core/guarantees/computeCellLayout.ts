import type { GuaranteeShape } from '../settings/GuaranteeShape.js';

/** Computes number and size of the cells of a shape; one with worker adjacency is a single cell. */
export const computeCellLayout = (
  shape: GuaranteeShape,
): { count: number; accelerators: number } =>
  shape.adjacency === 'worker'
    ? { count: 1, accelerators: shape.workers * shape.acceleratorsPerWorker }
    : { count: shape.workers, accelerators: shape.acceleratorsPerWorker };
