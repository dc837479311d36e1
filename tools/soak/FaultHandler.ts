import type { Soak } from './Soak.js';

/** Injects a fault of about a given duration; the fault is over when the promise resolves. */
export type FaultHandler = (soak: Soak, durationMs: number) => Promise<void>;
