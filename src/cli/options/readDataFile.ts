import fs from 'node:fs';
import path from 'node:path';
import { err, ok, type Result } from 'neverthrow';
import { parse as parseToml } from 'smol-toml';
import type { CliError } from '../CliError.js';

const parsers: Readonly<Record<string, (text: string) => unknown>> = {
  '.toml': parseToml,
  '.json': JSON.parse,
};

const hint = 'Give a readable TOML or JSON file whose name ends in .toml or .json.';

/** Reads and parses a TOML or JSON file; the file extension selects the format. */
export const readDataFile = (file: string): Result<unknown, CliError> => {
  const parser = parsers[path.extname(file)];
  if (!parser) return err({ type: 'usage', message: `${file}: unknown format`, hint });
  try {
    return ok(parser(fs.readFileSync(file, 'utf8')));
  } catch (error) {
    return err({ type: 'usage', message: `${file}: ${(error as Error).message}`, hint });
  }
};
