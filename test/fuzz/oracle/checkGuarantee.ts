import type { World } from '../world/World.js';
import type { Property } from './Property.js';

// The bound of P1, and two hops between the gateway and the lead.
const boundMs = 6140;
const parts = 2;

const listStarts = (world: World, jobId: string): number[] =>
  world.history.taskRuns.filter((run) => run.jobId === jobId).map((run) => run.startedAt);

const isFree = (world: World, jobIds: string[], at: number): boolean =>
  jobIds.every((jobId) => {
    const runs = world.history.taskRuns.filter((run) => run.jobId === jobId);
    // The lead learns of an end with the next renewal.
    return runs.length >= parts && runs.every(({ endedAt }) => (endedAt ?? Infinity) < at - 1500);
  });

/** P1: a job of the guaranteed shape starts within the bound while nothing else uses the shape. */
export const checkGuarantee: Property = (world) => {
  const { guaranteed } = world.history;
  const late = guaranteed.find(({ jobId, at }) => {
    // Of jobs submitted at about the same time, any may be first.
    const others = guaranteed
      .filter((job) => job.jobId !== jobId && job.at <= at + boundMs)
      .map((job) => job.jobId);
    if (!isFree(world, others, at) || world.now < at + boundMs) return false;
    const inTime = listStarts(world, jobId).filter((startedAt) => startedAt <= at + boundMs);
    return inTime.length < parts;
  });
  return late ? `${late.jobId} did not start within ${boundMs} ms` : null;
};
