/**
 * A short request on reclaimed capacity is waited for this long, in milliseconds; then the gang
 * starts beside it, because the worker takes work beyond its slots.
 */
export const reclaimGraceMs = 2000;
