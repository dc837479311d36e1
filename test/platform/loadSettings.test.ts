import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, test } from '@jest/globals';
import { formatSettingsError } from '../../platform/formatSettingsError.js';
import { loadSettings } from '../../platform/loadSettings.js';
import { platformSettings } from '../fixtures/platformSettings.js';

const load = (text: string): ReturnType<typeof loadSettings> => {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  const path = join(folder, 'settings.toml');
  writeFileSync(path, text);
  const result = loadSettings({ SISKINHOLLOW_BOOT: path });
  rmSync(folder, { recursive: true });
  return result;
};

// Guards against settings that are misread, and against a new field that stops the daemon.
test('known fields are read, others ignored', () => {
  expect(load(platformSettings).unwrapOr(null)).toMatchObject({
    vmId: 'vm-1',
    front: { host: '10.0.0.1', port: 80 },
    bounds: { maxLeaseMs: 6000, statusKeepMs: 120_000 },
  });
});

// Guards against a daemon that starts without a limit it depends on.
test('missing field is named', () => {
  const text = load(platformSettings.replace('grace_s = 6', '')).match(
    () => '',
    formatSettingsError,
  );
  expect(text).toContain('bounds.grace_s');
});

// Guards against an error that does not tell the operator what to set.
test('unset variable is named', () => {
  const text = loadSettings({}).match(() => '', formatSettingsError);
  expect(text).toContain('SISKINHOLLOW_BOOT');
});
