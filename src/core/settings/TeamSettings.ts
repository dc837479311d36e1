import type { WorkspaceSettings } from './WorkspaceSettings.js';

/** Subtree of one team. */
export interface TeamSettings {
  /** SHA-256 hashes, in hexadecimal, of the tokens that open this subtree. */
  tokenHashes: string[];
  workspaces: Record<string, WorkspaceSettings>;
}
