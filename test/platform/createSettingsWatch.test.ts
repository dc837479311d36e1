import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, expect, test } from '@jest/globals';
import { createSettingsWatch } from '../../platform/createSettingsWatch.js';
import { loadSettings } from '../../platform/loadSettings.js';
import { platformSettings } from '../fixtures/platformSettings.js';

let folder = '';
let env: Record<string, string> = {};

const write = (content: string): void => writeFileSync(env.SISKINHOLLOW_BOOT!, content);

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'settings-'));
  env = { SISKINHOLLOW_BOOT: join(folder, 'settings.toml') };
  write(platformSettings);
});

afterEach(() => rmSync(folder, { recursive: true }));

const startWatch = () => {
  const reports: string[] = [];
  const initial = loadSettings(env).match(
    (settings) => settings,
    ({ kind }) => {
      throw new Error(kind);
    },
  );
  const check = createSettingsWatch(env, initial, {
    onChange: (settings) => reports.push(`${settings.store} ${settings.bounds.graceMs}`),
    onError: (error) => reports.push(error.kind),
  });
  return { reports, check };
};

// Guards against a change that is never noticed, and against one that is applied repeatedly.
test('change is reported once', () => {
  const { reports, check } = startWatch();
  check();
  write(platformSettings.replace('grace_s = 6', 'grace_s = 3').replace('10.9.0.1', '10.9.0.2'));
  check();
  check();
  expect(reports).toEqual(['10.9.0.2:90 3000']);
});

// Guards against a daemon that reacts to fields that it does not use.
test('change of an unknown field is not reported', () => {
  const { reports, check } = startWatch();
  write(`other = 1\n${platformSettings}`);
  check();
  expect(reports).toEqual([]);
});

// Guards against a half-written file that ends the daemon, or adds a log line at each check.
test('invalid file is reported once', () => {
  const { reports, check } = startWatch();
  write(platformSettings.slice(0, -12));
  check();
  check();
  rmSync(env.SISKINHOLLOW_BOOT!);
  check();
  check();
  write(platformSettings);
  check();
  expect(reports).toEqual(['invalid', 'unreadable']);
});
