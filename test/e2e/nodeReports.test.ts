import { execFile } from 'node:child_process';
import { afterAll, beforeAll, expect, test } from '@jest/globals';
import { findFreePorts } from '../../tools/cluster/findFreePorts.js';
import type { ManagedProcess } from '../../tools/cluster/ManagedProcess.js';
import { startProcess } from '../../tools/cluster/startProcess.js';
import { stopProcess } from '../../tools/cluster/stopProcess.js';
import { publishRecord } from '../../tools/soak/publishRecord.js';

const config = {
  version: 7,
  routes: [{ name: 'q', path_prefix: '/q/', service: 'svc' }],
  tenants: [{ name: 'ws', api_keys: ['key'] }],
};

let store: ManagedProcess;
let port: number;

interface NodeRun {
  code: number;
  stdout: string;
  stderr: string;
}

const runNode = (...args: string[]): Promise<NodeRun> =>
  new Promise((resolve) => {
    execFile(process.execPath, ['target/siskin-node.cjs', ...args], (error, stdout, stderr) => {
      resolve({ code: Number(error?.code ?? 0), stdout, stderr });
    });
  });

beforeAll(async () => {
  [port] = (await findFreePorts(1)) as [number];
  store = startProcess('store', 'dist/standins/store/main.js', ['--port', String(port)]);
  await publishRecord(port, 'keyed.op', 'config', config);
}, 20_000);

afterAll(async () => {
  await stopProcess(store, 'SIGTERM', 1000);
});

// Guards against a status that needs a running daemon, or that cannot read the stored records.
test('status is read from the store', async () => {
  const { code, stdout } = await runNode('status', '--store', `127.0.0.1:${port}`);
  expect(code).toBe(0);
  expect(JSON.parse(stdout)).toMatchObject({
    configVersion: 7,
    queues: 1,
    workspaces: 1,
    lead: '',
  });
}, 20_000);

// Guards against an invoice without usage that is reported as an error.
test('invoice without usage is an empty list', async () => {
  const { code, stdout } = await runNode('invoice', '2026-12', '--store', `127.0.0.1:${port}`);
  expect([code, JSON.parse(stdout)]).toEqual([0, []]);
}, 20_000);

// Guards against failures that exit like a successful report.
test('unknown job and unreachable store exit with 5', async () => {
  const [unusedPort] = (await findFreePorts(1)) as [number];
  const unknown = await runNode('job', '00000000000000ff', '--store', `127.0.0.1:${port}`);
  const unreachable = await runNode('status', '--store', `127.0.0.1:${unusedPort}`);
  expect([unknown.code, unreachable.code]).toEqual([5, 5]);
  expect(unreachable.stderr).toContain('cannot be read: unreachable');
}, 20_000);

// Guards against a check that succeeds without a settings file.
test('check of a missing settings file exits with 6', async () => {
  expect((await runNode('check')).code).toBe(6);
}, 20_000);
