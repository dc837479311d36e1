import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, beforeAll, expect, test } from '@jest/globals';
import { findFreePorts } from '../../tools/cluster/findFreePorts.js';
import type { ManagedProcess } from '../../tools/cluster/ManagedProcess.js';
import { startProcess } from '../../tools/cluster/startProcess.js';
import { stopProcess } from '../../tools/cluster/stopProcess.js';
import { waitUntil } from '../../tools/cluster/waitUntil.js';
import { formatSettings } from '../../tools/soak/formatSettings.js';

const logLineLimitMs = 8000;
const folder = mkdtempSync(join(tmpdir(), 'node-settings-'));
const settingsFile = join(folder, 'settings.toml');

let node: ManagedProcess;
let settings: string;

const waitForLogLine = (code: string): Promise<string> =>
  waitUntil(code, logLineLimitMs, () =>
    node.lines.findLast((text) => text.includes(`"code":"${code}"`)),
  );

beforeAll(async () => {
  const [frontPort, readinessPort, storePort, metricsPort] = await findFreePorts(4);
  settings = formatSettings({
    id: 'vm-1',
    frontPort: frontPort!,
    readinessPort: readinessPort!,
    storePort: storePort!,
  });
  writeFileSync(settingsFile, settings);
  const env = { SISKINHOLLOW_BOOT: settingsFile };
  node = startProcess('vm-1', 'target/siskin-node.cjs', ['--metrics-port', `${metricsPort}`], env);
  await waitForLogLine('daemon_started');
}, 20_000);

afterAll(async () => {
  await stopProcess(node, 'SIGTERM', 7000);
  rmSync(folder, { recursive: true });
}, 20_000);

// Guards against a SIGHUP that ends the daemon or does not reload the settings.
test('SIGHUP applies a changed file', async () => {
  writeFileSync(settingsFile, settings.replace('status_s = 120', 'status_s = 60'));
  node.signal('SIGHUP');
  expect(await waitForLogLine('settings_applied')).toContain('"statusKeepMs":60000');
}, 20_000);

// Guards against a daemon that reads the file only on SIGHUP, which the platform may not send.
test('invalid file is reported without a signal', async () => {
  writeFileSync(settingsFile, 'node_id = ');
  expect(await waitForLogLine('settings_invalid')).toContain('"reason"');
}, 20_000);
