/**
 * Capacity that a job may use. `own`: free cells of its workspace; `unassigned`: also capacity
 * outside all cells; `lent`: also idle cells of other workspaces; `reclaimable`: the cells that its
 * workspace does not use itself, even those in use by others.
 */
export type CapacityTier = 'own' | 'unassigned' | 'lent' | 'reclaimable';
