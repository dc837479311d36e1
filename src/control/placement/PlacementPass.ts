import type { Resources } from '../Resources.js';
import type { StepPlan } from '../plans/StepPlan.js';
import type { Worker } from '../workers/Worker.js';
import type { Victim } from './Victim.js';

/** Inputs and running state of one placement pass over all waiting tasks. */
export interface PlacementPass {
  /** Workers that accept new tasks, by service. */
  workersByService: Map<string, Worker[]>;
  /** Resources reserved for guaranteed tasks whose preemption victims are still stopping, by worker ID. */
  reservedResources: Map<string, Resources>;
  /** IDs of the fast workers reserved for urgent and checkpointing tasks. */
  urgentWorkerIds: Set<string>;
  /** Accelerators in use, including those of tasks placed by this pass. */
  usedGpu: number;
  /** Accelerators of all registered workers. */
  totalGpu: number;
  /** Whether at least one of CPU, memory and accelerators was less than half in use before the pass. */
  hasSpareCapacity: boolean;
  /** Whether no urgent job has arrived recently. */
  isUrgentIdle: boolean;
  /** Runs that may be preempted, by the ID of their worker; built when first needed. */
  victimsByWorkerId: Map<string, Victim[]>;
  /** Work lost by stopping a gang, in core-milliseconds; computed when first needed. */
  gangLossCoreMs: Map<StepPlan, number>;
  /** Most accelerators free on one worker before the pass; wider tasks fit only after a preemption. */
  maxFreeGpu: number;
}
