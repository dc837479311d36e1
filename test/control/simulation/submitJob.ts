import type { Schedule } from '../../../src/control/jobs/Schedule.js';
import type { Step } from '../../../src/control/jobs/Step.js';
import { defaultStep } from './defaultStep.js';
import type { FakePlatform } from './FakePlatform.js';

interface JobOptions {
  /** Index of the VM that gets the request. */
  vm?: number;
  /** First segment of the path: urgent or batch queue, or the one that every second version adds. */
  queue?: 'u' | 'b' | 'x';
  operation?: 'submit' | 'show' | 'cancel';
  /** Run time of each task, which is also declared unless a step gives another estimate. */
  runMs?: number;
  /** Accelerators of each task. */
  gpu?: number;
  steps?: Partial<Step>[];
  schedule?: Schedule;
  deadlineMs?: number;
}

let lastRequestId = 0;

/** Sends a caller's request for a job; returns the request ID, which is the key of the answer. */
export const submitJob = (platform: FakePlatform, id: string, options: JobOptions = {}): number => {
  lastRequestId += 1;
  const need = { cpu: 1000, memMb: 1000, gpu: options.gpu ?? 1 };
  const estimateMs = options.runMs ?? 1000;
  const steps = (options.steps ?? [{}]).map((step) => ({
    ...defaultStep,
    need,
    estimateMs,
    ...step,
  }));
  // Read by the fake workers: the run time, and whether the task saves checkpoints.
  const spec = `${estimateMs}${steps.some(({ checkpointing }) => checkpointing) ? 's' : ''}`;
  platform.push(platform.vms[options.vm ?? 0]!, {
    type: 'callerRequested',
    request: {
      requestId: lastRequestId,
      operation: options.operation ?? 'submit',
      host: 'h',
      path: `/${options.queue ?? 'b'}/${id.padStart(16, '0')}`,
      apiKey: 'key',
      definition: { spec, steps, schedule: options.schedule ?? null },
      definitionProblem: '',
      timeoutMs: options.deadlineMs ?? 3000,
    },
  });
  return lastRequestId;
};
