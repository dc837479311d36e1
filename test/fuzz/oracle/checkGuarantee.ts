import type { Simulation } from '../simulation/Simulation.js';
import type { Property } from './Property.js';

// The bound of P1, plus two message delays between the gateway and the lead.
const boundMs = 6140;
const parts = 2;

const listStarts = (simulation: Simulation, jobId: string): number[] =>
  simulation.history.taskRuns.filter((run) => run.jobId === jobId).map((run) => run.startedAt);

const isShapeFree = (simulation: Simulation, jobIds: string[], at: number): boolean =>
  jobIds.every((jobId) => {
    const runs = simulation.history.taskRuns.filter((run) => run.jobId === jobId);
    // The lead learns with the next renewal that a run has ended.
    return runs.length >= parts && runs.every(({ endedAt }) => (endedAt ?? Infinity) < at - 1500);
  });

/** P1: a job of the guaranteed shape starts within the bound while nothing else uses the shape. */
export const checkGuarantee: Property = (simulation) => {
  const { guaranteedJobs } = simulation.history;
  const late = guaranteedJobs.find(({ jobId, at }) => {
    // Of jobs submitted at about the same time, any one may start first.
    const others = guaranteedJobs
      .filter((job) => job.jobId !== jobId && job.at <= at + boundMs)
      .map((job) => job.jobId);
    if (!isShapeFree(simulation, others, at) || simulation.now < at + boundMs) return false;
    const inTime = listStarts(simulation, jobId).filter((startedAt) => startedAt <= at + boundMs);
    return inTime.length < parts;
  });
  return late ? `${late.jobId} did not start within ${boundMs} ms` : null;
};
