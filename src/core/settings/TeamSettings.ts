import type { WorkspaceSettings } from './WorkspaceSettings.js';

/** Subtree of one team. */
export interface TeamSettings {
  /** SHA-256 hashes, in hexadecimal, of the tokens that give access to this team. */
  tokenHashes: string[];
  workspaces: Record<string, WorkspaceSettings>;
}
