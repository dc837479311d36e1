import type { Job } from './Job.js';

/** Converts a job to JSON data for callers and operators, without its payload. */
export const describeJob = (job: Job): Record<string, unknown> => {
  const { payload, ...spec } = job.spec;
  return {
    id: job.id,
    workspace: job.workspace,
    zone: job.zone,
    state: job.state,
    attempt: job.attempt,
    spec: { ...spec, payloadBytes: payload.length },
    submittedWall: job.submittedWall,
    startedWall: job.startedWall ?? null,
    endedWall: job.endedWall ?? null,
    reason: job.reason ?? null,
    parts: job.parts.map(({ index, workerId, state, borrowed }) => ({
      index,
      workerId,
      state,
      borrowed,
    })),
  };
};
