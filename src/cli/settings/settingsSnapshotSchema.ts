import { z } from 'zod';

/** Schema of the current settings; unknown fields, which a newer gateway may send, are kept. */
export const settingsSnapshotSchema = z.looseObject({
  version: z.int(),
  /** Version of each subtree at its last change, by path. */
  subtreeVersions: z.record(z.string(), z.int()),
  tree: z.looseObject({
    zones: z.record(z.string(), z.unknown()),
    teams: z.record(
      z.string(),
      z.looseObject({ workspaces: z.record(z.string(), z.record(z.string(), z.unknown())) }),
    ),
  }),
});
