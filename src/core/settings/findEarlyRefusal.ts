import type { Refusal } from '../Refusal.js';
import { mergeSubtree } from './mergeSubtree.js';
import type { SettingsProjection } from './SettingsProjection.js';
import { settingsRecordSchema } from './settingsRecordSchema.js';
import { translateSettingsError } from './translateSettingsError.js';

/**
 * Finds a refusal that applies to a proposal at any later log offset: an invalid record, an invalid
 * subtree or an outdated version. Other checks are made when the record is read, because this
 * recorder may be behind the log.
 */
export const findEarlyRefusal = (
  projection: SettingsProjection,
  record: unknown,
): Refusal | null => {
  const parsed = settingsRecordSchema.safeParse(record);
  if (!parsed.success || parsed.data.kind !== 'proposal') {
    const issue = parsed.error?.issues[0];
    const detail = `${issue?.path.join('/') ?? 'kind'}: ${issue?.message ?? 'not a proposal'}`;
    return { reason: 'invalid-settings', outcome: 'not-run', detail };
  }
  const { path, expectedVersion, subtree } = parsed.data;
  const merged = mergeSubtree(projection.snapshot.tree, path, subtree);
  if (merged.isErr()) return translateSettingsError(merged.error);
  const currentVersion = projection.snapshot.subtreeVersions[path] ?? -1;
  return expectedVersion < currentVersion
    ? translateSettingsError({ kind: 'staleVersion', expectedVersion, currentVersion })
    : null;
};
