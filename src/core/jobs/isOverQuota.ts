import type { State } from '../State.js';
import { findWorkspace } from './findWorkspace.js';
import type { Job } from './Job.js';
import { measureUse } from './measureUse.js';

/** Whether starting a queued job would exceed its workspace's accelerators. */
export const isOverQuota = (state: State, job: Job): boolean =>
  measureUse(state.jobs, job.workspace) + job.spec.tasks * job.spec.acceleratorsPerTask >
  (findWorkspace(state, job.workspace)?.maxAccelerators ?? 0);
