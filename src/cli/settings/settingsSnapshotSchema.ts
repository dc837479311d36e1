import { z } from 'zod';

/** Schema of the current settings; unknown fields of a newer version are kept. */
export const settingsSnapshotSchema = z.looseObject({
  version: z.int(),
  subtreeVersions: z.record(z.string(), z.int()),
  tree: z.looseObject({
    zones: z.record(z.string(), z.unknown()),
    teams: z.record(
      z.string(),
      z.looseObject({ workspaces: z.record(z.string(), z.record(z.string(), z.unknown())) }),
    ),
  }),
});
