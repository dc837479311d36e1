import type { Soak } from './Soak.js';

const dependentStepProbability = 0.3;
const maxStepTasks = 16;

interface JobSize {
  runMs: number;
  gpu: number;
  count: number;
}

const chooseInteger = ({ random }: Soak, min: number, max: number): number =>
  min + Math.floor(random() * (max - min + 1));

const createShortJob = (soak: Soak): JobSize => ({
  runMs: chooseInteger(soak, 200, 3200),
  gpu: chooseInteger(soak, 1, 4),
  count: chooseInteger(soak, 1, 4),
});

/** Sizes of a wide job whose tasks are seen running on after a cancel, as each outlasts the time to stop it. */
const createLongJob = (soak: Soak): JobSize => ({
  runMs: chooseInteger(soak, soak.jobMix.minLongRunMs, soak.jobMix.maxLongRunMs),
  gpu: 1,
  count: chooseInteger(soak, 1, maxStepTasks),
});

/** Creates the body of a submission: a short or a long first step, and sometimes a task that waits for it. */
export const createJobBody = (soak: Soak) => {
  const createSize =
    soak.random() < soak.jobMix.longJobProbability ? createLongJob : createShortJob;
  const { runMs, gpu, count } = createSize(soak);
  const step = { count, cpu: 1000, mem_mb: 1000, gpu, est_runtime_ms: runMs };
  const hasDependentStep = soak.random() < dependentStepProbability;
  const dependentSteps = hasDependentStep ? [{ ...step, count: 1, after: [0] }] : [];
  return { spec: `${runMs}/${gpu}`, steps: [step, ...dependentSteps] };
};
