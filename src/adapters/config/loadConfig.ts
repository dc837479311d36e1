import fs from 'node:fs';
import path from 'node:path';
import { err, ok, type Result } from 'neverthrow';
import type { ConfigError } from './ConfigError.js';
import type { DaemonConfig } from './DaemonConfig.js';
import { parseConfig } from './parseConfig.js';

const readText = (file: string): Result<string, ConfigError> => {
  try {
    return ok(fs.readFileSync(file, 'utf8'));
  } catch (error) {
    return err({ type: 'unreadable', file, reason: (error as Error).message });
  }
};

const loadSecret = (file: string, secretFile: string): Result<string, ConfigError> =>
  readText(path.resolve(path.dirname(file), secretFile)).andThen((text) => {
    const secret = text.trim();
    if (secret.length >= 16) return ok(secret);
    const expected = 'expected a file with at least 16 characters';
    const issue = { path: 'meshSecretFile', value: JSON.stringify(secretFile), expected };
    return err<never, ConfigError>({ type: 'invalidValues', file, issues: [issue] });
  });

/** Loads the configuration file of a daemon; reads the mesh secret from its file if one is named. */
export const loadConfig = (file: string): Result<DaemonConfig, ConfigError> =>
  readText(file)
    .andThen((text) => parseConfig(file, text))
    .andThen(({ meshSecret, meshSecretFile, ...rest }) =>
      (meshSecretFile === undefined
        ? ok<string, ConfigError>(meshSecret ?? '')
        : loadSecret(file, meshSecretFile)
      ).map((secret) => ({ ...rest, meshSecret: secret })),
    );
