import type { z } from 'zod';
import type { ConfigIssue } from './ConfigIssue.js';
import { formatFieldPath } from './formatFieldPath.js';
import { listConfigFields } from './listConfigFields.js';
import { listConfigKeys } from './listConfigKeys.js';

type Issue = z.core.$ZodIssue;

const secretKeys = new Set(['meshSecret', 'rootTokenHash']);

const findValue = (input: unknown, path: readonly PropertyKey[]): unknown =>
  path.reduce<unknown>(
    (value, key) => (value as Record<PropertyKey, unknown> | null | undefined)?.[key],
    input,
  );

const formatValue = (value: unknown, path: readonly PropertyKey[]): string => {
  if (value === undefined) return '(not set)';
  if (secretKeys.has(String(path.at(-1)))) return '(hidden)';
  // The TOML parser returns large integers as bigint, which JSON cannot represent.
  return typeof value === 'bigint' ? String(value) : JSON.stringify(value);
};

const describeKnownKeys = (knownKeys: readonly string[]): string =>
  `unknown key; expected one of ${knownKeys.join(', ')}`;

const describeField = (path: readonly PropertyKey[]): string => {
  const fieldPath = formatFieldPath(path);
  const field = listConfigFields().find((candidate) => candidate.path === fieldPath);
  return field ? `expected: ${field.description}` : 'expected a table of fields';
};

const translateIssue = (issue: Issue, input: unknown): ConfigIssue[] => {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => {
      const path = [...issue.path, key];
      return {
        path: path.join('.'),
        value: formatValue(findValue(input, path), path),
        expected: describeKnownKeys(listConfigKeys(issue.path)),
      };
    });
  }
  const value = formatValue(findValue(input, issue.path), issue.path);
  // A message that begins like this is the default of zod; the field has none of its own.
  const expected = issue.message.startsWith('Invalid input')
    ? describeField(issue.path)
    : issue.message;
  return [{ path: issue.path.join('.'), value, expected }];
};

/** Translates zod issues into invalid fields with their value and the expected value. */
export const translateIssues = (issues: readonly Issue[], input: unknown): ConfigIssue[] =>
  issues.flatMap((issue) => translateIssue(issue, input));
