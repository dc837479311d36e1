import type { State } from '../State.js';
import { findWorkspace } from './findWorkspace.js';
import { measureUse } from './measureUse.js';

/** Accelerators in use by a workspace for each unit of its weight; the lowest share goes first. */
export const measureShare = (state: State, workspace: string): number =>
  measureUse(state.jobs, workspace) / Math.max(findWorkspace(state, workspace)?.weight ?? 1, 1e-9);
