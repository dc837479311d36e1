import type { StoreLimits } from './StoreLimits.js';

/** Limits of a store whose settings name none. */
export const defaultStoreLimits: StoreLimits = { maxRecordBytes: 262_144, maxCallBytes: 2_097_152 };
