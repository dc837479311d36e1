import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import type { SettingsError } from './SettingsError.js';
import type { SettingsTree } from './SettingsTree.js';
import type { SubtreePath } from './SubtreePath.js';
import { teamSettingsSchema } from './teamSettingsSchema.js';
import { zonesSchema } from './zonesSchema.js';

const findValue = (input: unknown, path: PropertyKey[]): unknown =>
  path.reduce<unknown>(
    (value, key) => (value as Record<PropertyKey, unknown> | undefined)?.[key],
    input,
  );

const parseSubtree = <T>(
  schema: z.ZodType<T>,
  path: SubtreePath,
  subtree: unknown,
): Result<T, SettingsError> => {
  const parsed = schema.safeParse(subtree);
  if (parsed.success) return ok(parsed.data);
  const issue = parsed.error.issues[0]!;
  return err({
    kind: 'invalidSettings',
    path: [path, ...issue.path].join('/'),
    value: findValue(subtree, issue.path),
    expected: issue.message,
  });
};

/**
 * Replaces one subtree of a tree. `null` as a team's subtree removes the team. Fields that the
 * schema does not contain are kept.
 */
export const mergeSubtree = (
  tree: SettingsTree,
  path: SubtreePath,
  subtree: unknown,
): Result<SettingsTree, SettingsError> => {
  if (path === 'zones') {
    return parseSubtree(zonesSchema, path, subtree).map((zones) => ({ ...tree, zones }));
  }
  const team = path.slice('teams/'.length);
  const { [team]: replaced, ...others } = tree.teams;
  if (subtree === null) return ok({ ...tree, teams: others });
  return parseSubtree(teamSettingsSchema, path, subtree).map((settings) => ({
    ...tree,
    teams: { ...others, [team]: settings },
  }));
};
