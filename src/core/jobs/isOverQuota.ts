import type { State } from '../State.js';
import { findWorkspaceSettings } from './findWorkspaceSettings.js';
import type { Job } from './Job.js';
import { countCommittedAccelerators } from './countCommittedAccelerators.js';

/** Tells whether starting a queued job would exceed the accelerator quota of its workspace. */
export const isOverQuota = (state: State, job: Job): boolean =>
  countCommittedAccelerators(state.jobs, job.workspace) +
    job.spec.tasks * job.spec.acceleratorsPerTask >
  (findWorkspaceSettings(state, job.workspace)?.maxAccelerators ?? 0);
