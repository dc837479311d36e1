import type { State } from '../State.js';
import { findWorkspaceSettings } from './findWorkspaceSettings.js';
import { countCommittedAccelerators } from './countCommittedAccelerators.js';

/** Computes the accelerators in use per unit of weight; the workspace with the least goes first. */
export const computeWeightedUse = (state: State, workspace: string): number =>
  countCommittedAccelerators(state.jobs, workspace) /
  Math.max(findWorkspaceSettings(state, workspace)?.weight ?? 1, 1e-9);
