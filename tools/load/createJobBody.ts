import type { LoadOptions } from './LoadOptions.js';

const gpuChoices = [1, 1, 2, 4, 8];
const gangProbability = 0.5;
const cpuPerGpu = 6000;
const memMbPerGpu = 4000;

/** Creates the body of a submission; sizes are spread evenly around their means. */
export const createJobBody = (
  { jobWidth, runMs: meanRunMs }: LoadOptions,
  random: () => number,
): Record<string, unknown> => {
  const runMs = Math.round(meanRunMs * (0.5 + random()));
  const gpu = gpuChoices[Math.floor(random() * gpuChoices.length)]!;
  const step = {
    count: Math.max(1, Math.round(jobWidth * 2 * random())),
    cpu: gpu * cpuPerGpu,
    mem_mb: gpu * memMbPerGpu,
    gpu,
    est_runtime_ms: runMs,
    gang: random() < gangProbability,
  };
  return { spec: `${runMs}/${gpu}`, steps: [step] };
};
