import type { Resources } from '../Resources.js';
import type { Worker } from '../workers/Worker.js';

/** What one placement pass has decided so far. */
export interface PlacementPass {
  /** Workers that may get work, by service. */
  workersByService: Map<string, Worker[]>;
  /** Room that is kept for guaranteed tasks whose victims are stopping, by worker. */
  reservedResources: Map<string, Resources>;
  /** Fast workers that are kept for urgent work, and for what can be stopped without loss. */
  urgentWorkerIds: Set<string>;
  /** Accelerators in use, with what the pass has placed, and all that there are. */
  usedGpu: number;
  wholeGpu: number;
  /** Less than half of the processors, the memory or the accelerators were in use before the pass. */
  isRoomy: boolean;
  /** No urgent work has come for a while. */
  isUrgentIdle: boolean;
  /** Free accelerators of the emptiest worker before the pass; wider tasks need not be tried. */
  mostFreeGpu: number;
}
