import { err, ok, type Result } from 'neverthrow';
import type { SubtreePath } from '../../core/settings/SubtreePath.js';

const isSubtreePath = (path: string): path is SubtreePath =>
  path === 'zones' || /^teams\/[^/]+$/.test(path);

/** Parses the path of a subtree, a part of the settings that is replaced as a whole. */
export const parseSubtreePath = (path: string): Result<SubtreePath, string> =>
  isSubtreePath(path) ? ok(path) : err(`path "${path}": expected "zones" or "teams/TEAM".`);
