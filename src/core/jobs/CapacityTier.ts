/**
 * Capacity that a job may use. `own`: free cells of its workspace; `unassigned`: also capacity of
 * no cell; `lent`: also idle cells of others; `reclaimable`: its cells, even if lent out.
 */
export type CapacityTier = 'own' | 'unassigned' | 'lent' | 'reclaimable';
