import type { SubtreePath } from '../settings/SubtreePath.js';

/** A resource that a caller or operator wants to access. */
export type AccessTarget =
  | { kind: 'workspace'; workspace: string }
  | { kind: 'subtree'; path: SubtreePath }
  /** Resources of no single team: the status, the whole settings tree, all proposals. */
  | { kind: 'global' }
  /** The principal's own resources; the response is limited to these. */
  | { kind: 'own' };
