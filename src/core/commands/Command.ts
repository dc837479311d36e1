import type { JobSpec } from '../jobs/JobSpec.js';
import type { SubtreePath } from '../settings/SubtreePath.js';

/** A command of an operator or caller to the control interface; times are epoch milliseconds. */
export type Command =
  | { kind: 'submitJob'; jobId: string; workspace: string; zone?: string; spec: JobSpec }
  | { kind: 'cancelJob'; workspace: string; jobId: string }
  | { kind: 'showJob'; workspace: string; jobId: string }
  | { kind: 'listJobs'; workspace: string }
  | { kind: 'showStatus' }
  | { kind: 'showSettings' }
  | {
      kind: 'proposeSettings';
      proposalId: string;
      path: SubtreePath;
      expectedVersion: number;
      /** The new subtree as data; checked against the schema before it is appended. */
      subtree: unknown;
      author: string;
    }
  | { kind: 'listProposals'; path?: SubtreePath }
  | { kind: 'reportUsage'; workspace: string; fromWall: number; toWall: number };
