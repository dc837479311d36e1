import type { State } from '../State.js';
import { findWorkspaceSettings } from './findWorkspaceSettings.js';
import { countCommittedAccelerators } from './countCommittedAccelerators.js';

/** Accelerators in use by a workspace for each unit of its weight; the lowest share goes first. */
export const computeWeightedUse = (state: State, workspace: string): number =>
  countCommittedAccelerators(state.jobs, workspace) /
  Math.max(findWorkspaceSettings(state, workspace)?.weight ?? 1, 1e-9);
