import type { Job } from '../../src/core/jobs/Job.js';
import { fixedTime } from './fixedTime.js';

/** Creates a running gang, with a part of one accelerator on each given worker. */
export const createRunningJob = (id: string, workspace: string, workerIds: string[]): Job => ({
  id,
  workspace,
  zone: 'zone-00',
  spec: {
    tasks: workerIds.length,
    acceleratorsPerTask: 1,
    adjacency: 'zone',
    declaredMs: 14_400_000,
    preemptible: false,
    urgent: false,
    payload: '{"image":"label-reader:41","arguments":["--batch","station-7"]}',
  },
  specKnown: true,
  state: 'running',
  attempt: 1,
  parts: workerIds.map((workerId, index) => ({
    index,
    taskId: `${id}.1.${index}`,
    workerId,
    state: 'running',
    borrowed: false,
    changedAt: fixedTime.at - 60_000,
    startSentWall: fixedTime.wall - 60_000,
    startedWall: fixedTime.wall - 60_000,
    checkpoint: null,
    checkpointBefore: null,
    expiresAt: null,
  })),
  submittedWall: fixedTime.wall - 70_000,
  startedWall: fixedTime.wall - 60_000,
  phaseAt: fixedTime.at - 60_000,
  dueAt: null,
  ranMs: 0,
  failedSets: [],
  failures: 0,
  notBefore: 0,
});
