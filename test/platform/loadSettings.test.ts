import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, test } from '@jest/globals';
import { formatSettingsError } from '../../platform/formatSettingsError.js';
import { loadSettings } from '../../platform/loadSettings.js';

const whole = `
node_id = "vm-1"
zone = "z"
some_new_field = 1
ip = "10.0.0.1"
[listen]
frontend = "10.0.0.1:80"
readiness = "10.0.0.1:81"
[limits]
cpu_share = 0.5
cpu_cores = 2
[platform]
address = "10.9.0.1:90"
[bounds]
max_hold_ms = 6000
stop_timeout_ms = 200
gang_timeout_ms = 3000
status_s = 120
remote_factor = 3
grace_s = 6
`;

const load = (text: string): ReturnType<typeof loadSettings> => {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  const path = join(folder, 'settings.toml');
  writeFileSync(path, text);
  const result = loadSettings({ SISKINHOLLOW_BOOT: path });
  rmSync(folder, { recursive: true });
  return result;
};

test('reads the settings and ignores what is new', () => {
  expect(load(whole).unwrapOr(null)).toMatchObject({
    vmId: 'vm-1',
    front: { host: '10.0.0.1', port: 80 },
    bounds: { maxLeaseMs: 6000, statusKeepMs: 120_000 },
  });
});

// Guards against a daemon that starts without a bound it depends on.
test('names what is missing', () => {
  const text = load(whole.replace('grace_s = 6', '')).match(() => '', formatSettingsError);
  expect(text).toContain('bounds.grace_s');
});

test('names the variable that is not set', () => {
  const text = loadSettings({}).match(() => '', formatSettingsError);
  expect(text).toContain('SISKINHOLLOW_BOOT');
});
