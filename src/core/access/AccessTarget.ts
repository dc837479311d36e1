import type { SubtreePath } from '../settings/SubtreePath.js';

/** What a caller or operator wants to reach. */
export type AccessTarget =
  | { kind: 'workspace'; workspace: string }
  | { kind: 'subtree'; path: SubtreePath }
  /** Whatever belongs to no single team: the status, the whole tree, all proposals. */
  | { kind: 'global' }
  /** What the principal itself owns; the answer is limited to it. */
  | { kind: 'own' };
