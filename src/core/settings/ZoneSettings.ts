import type { WorkerSettings } from './WorkerSettings.js';

/** The registered workers of one availability zone. */
export interface ZoneSettings {
  workers: Record<string, WorkerSettings>;
}
