/**
 * Capacity that a job may use. `own`: free cells of its workspace; `unassigned`: also capacity
 * outside all cells; `lent`: also idle cells of other workspaces; `reclaimable`: all cells of its
 * workspace, even those in use by others.
 */
export type CapacityTier = 'own' | 'unassigned' | 'lent' | 'reclaimable';
