/**
 * Time for which a gang waits for short requests on reclaimed capacity; then it starts beside them,
 * because the worker accepts work beyond its slots.
 */
export const reclaimGraceMs = 2000;
