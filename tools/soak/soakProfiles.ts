import { drainHandlers } from './drainHandlers.js';
import { faultHandlers } from './faultHandlers.js';
import type { FaultHandler } from './FaultHandler.js';
import type { JobMix } from './JobMix.js';
import type { SoakProfile } from './SoakProfile.js';

interface ProfileContent {
  /** Kinds of faults, of equal share. */
  handlers: readonly FaultHandler[];
  jobs: JobMix;
}

// At this rate of jobs for each worker, some jobs wait for capacity.
const mixedJobs: JobMix = {
  longJobProbability: 0.2,
  minLongRunMs: 4000,
  maxLongRunMs: 10_000,
  jobIntervalPerWorkerMs: 900,
};

// Tasks that outlast a lapse of their worker's entry and a cut around it.
const drainJobs: JobMix = {
  longJobProbability: 0.2,
  minLongRunMs: 9000,
  maxLongRunMs: 15_000,
  jobIntervalPerWorkerMs: 2500,
};

const mixedHandlers = Object.values(faultHandlers);
const { drainLong, drainCutAtExit, drainLapseCut, lapseCut, drainOutageCut } = drainHandlers;

/** Content of each profile; `drains` repeats faults by which a live worker's entry vanishes. */
export const soakProfiles: Record<SoakProfile, ProfileContent> = {
  mixed: { handlers: mixedHandlers, jobs: mixedJobs },
  drains: {
    handlers: [
      drainLapseCut!,
      drainLapseCut!,
      drainLapseCut!,
      drainOutageCut!,
      drainOutageCut!,
      drainLong!,
      drainCutAtExit!,
      lapseCut!,
    ],
    jobs: drainJobs,
  },
  all: { handlers: [...mixedHandlers, ...Object.values(drainHandlers)], jobs: mixedJobs },
};
