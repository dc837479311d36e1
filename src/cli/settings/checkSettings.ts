import { err, ok, type Result } from 'neverthrow';
import { findConflict } from '../../core/settings/findConflict.js';
import { hasFeasibleGuarantees } from '../../core/settings/hasFeasibleGuarantees.js';
import { settingsTreeSchema } from '../../core/settings/settingsTreeSchema.js';
import type { SettingsError } from '../../core/settings/SettingsError.js';
import type { SettingsTree } from '../../core/settings/SettingsTree.js';
import { translateSettingsError } from '../../core/settings/translateSettingsError.js';
import type { CliError } from '../CliError.js';

const findValue = (input: unknown, path: readonly PropertyKey[]): unknown =>
  path.reduce<unknown>(
    (value, key) => (value as Record<PropertyKey, unknown> | null | undefined)?.[key],
    input,
  );

const parseTree = (input: unknown): Result<SettingsTree, CliError> => {
  const parsed = settingsTreeSchema.safeParse(input);
  if (parsed.success) return ok(parsed.data);
  const faults = parsed.error.issues.map(
    ({ path, message }) =>
      `${path.join('/')}: got ${JSON.stringify(findValue(input, path)) ?? 'nothing'}, ${message}`,
  );
  return err({ type: 'invalidSettings', reason: 'invalid-settings', faults });
};

const translateError = (error: SettingsError): CliError => {
  const { reason, detail } = translateSettingsError(error);
  return { type: 'invalidSettings', reason, faults: [detail ?? reason] };
};

/**
 * Checks settings by the rules of the recorders: they match the schema, no two subtrees define the
 * same name, and, if `withPlacement`, all guarantees fit on the registered workers.
 */
export const checkSettings = (
  input: unknown,
  withPlacement: boolean,
): Result<SettingsTree, CliError> =>
  parseTree(input).andThen((tree) => {
    const conflict = findConflict(tree);
    if (conflict) return err(translateError(conflict));
    return withPlacement && !hasFeasibleGuarantees(tree)
      ? err(translateError({ kind: 'infeasibleGuarantee' }))
      : ok(tree);
  });
