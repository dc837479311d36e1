import fs from 'node:fs';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { expect, test } from '@jest/globals';
import type { CommandResult } from '../../src/core/commands/CommandResult.js';
import { createJob } from '../../src/core/jobs/createJob.js';
import { describeJob } from '../../src/core/jobs/describeJob.js';
import type { Refusal } from '../../src/core/Refusal.js';
import { callCli } from '../support/callCli.js';
import { serveApi } from '../support/serveApi.js';

const unreachableUrl = 'http://127.0.0.1:9';
const refuse = (refusal: Refusal): CommandResult => ({ ok: false, refusal });

const workspace = { weight: 2, guarantees: [], maxAccelerators: 8, maxQueuedRequests: 9 };
const snapshot = {
  version: 7,
  subtreeVersions: { 'teams/teddy': 5 },
  tree: { zones: {}, teams: { teddy: { tokenHashes: [], workspaces: { labels: workspace } } } },
};

// Each row guards against an invalid command line that is accepted or sent to the gateway.
test.each([
  [['jobs'], 'unknown command: jobs'],
  [['jobs', 'list'], 'missing required args'],
  [['jobs', 'list', 'labels', 'extra'], 'Unused args'],
  [['status', '--verbose'], 'Unknown option `--verbose`'],
  [['jobs', 'submit', 'labels', '--tasks', '0'], '--tasks 0 is not valid'],
  [['usage', 'labels', '--from', 'May', '--to', '2030-01-01'], '--from May is not a time'],
  [['settings', 'propose', 'zones', 'x.yaml', '--expect', '1'], 'x.yaml: unknown format'],
])('rejects the command line %j', async (argv, message) => {
  const { code, errors } = await callCli(unreachableUrl, ...argv);
  expect([code, errors]).toEqual([2, expect.stringContaining(message)]);
  expect(errors).toContain('hint: ');
});

// Guards against a command whose help has no examples, and a command that the overview omits.
test('help shows options and examples', async () => {
  const { code, out } = await callCli(unreachableUrl, 'jobs', 'submit', '--help');
  expect([code, out]).toEqual([0, expect.stringContaining('$ siskin jobs submit labels --tasks')]);
  expect((await callCli(unreachableUrl, '--help')).out).toContain(
    'siskin jobs watch <workspace> <id>',
  );
});

// Each row guards against two kinds of failure that share an exit code, so that scripts cannot
// distinguish them.
test.each([
  [{ reason: 'no-lead', outcome: 'not-run' }, 3],
  [{ reason: 'deadline-exceeded', outcome: 'unknown' }, 4],
  [{ reason: 'infeasible-guarantee', outcome: 'not-run' }, 6],
  [{ reason: 'stale-version', outcome: 'not-run' }, 7],
] as [Refusal, number][])('refusal %j has exit code %i', async (refusal, expected) => {
  const api = await serveApi(() => refuse(refusal));
  const { code, errors } = await callCli(api.url, 'status');
  await api.close();
  expect([code, errors]).toEqual([expected, expect.stringContaining(refusal.reason)]);
});

// Guards against a change reported as not run although the connection was lost after it was sent.
test('lost connection leaves a change unknown, a read unreachable', async () => {
  const server = net.createServer((socket) => socket.once('data', () => socket.destroy()));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const url = `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  expect((await callCli(url, 'jobs', 'cancel', 'labels', 'j1')).code).toBe(4);
  expect((await callCli(url, 'status')).code).toBe(5);
  server.close();
  expect((await callCli(unreachableUrl, 'jobs', 'cancel', 'labels', 'j1')).code).toBe(5);
});

// Guards against option values that the parser converts, and against a submission without its
// idempotency key.
test('jobs submit sends options as typed', async () => {
  const api = await serveApi(() => ({ ok: true, data: { id: 'k1' } }));
  const options = ['--tasks', '2', '--accelerators', '8', '--declared-ms', '60000', '--urgent'];
  const typed = ['--payload', '007', '--key', '1e3'];
  const first = await callCli(api.url, 'jobs', 'submit', 'labels', ...options, ...typed);
  await callCli(api.url, 'jobs', 'submit', 'labels', ...options, '--payload', '007', '--key=1e3');
  await api.close();
  expect([first.code, first.errors]).toEqual([0, '']);
  const [command, again] = api.commands;
  expect(command).toMatchObject({
    kind: 'submitJob',
    spec: { tasks: 2, acceleratorsPerTask: 8, payload: '007', urgent: true, preemptible: false },
  });
  expect(again).toEqual(command);
});

const writeFile = (name: string, text: string): string => {
  const file = path.join(fs.mkdtempSync(path.join(os.tmpdir(), 'siskin-cli-')), name);
  fs.writeFileSync(file, text);
  return file;
};

const worker =
  '[zones.a.workers.w1]\nurl = "http://127.0.0.1:9101"\nrack = "r"\naccelerators = 8\nslots = 8\n';
const team = (accelerators: string) =>
  `[teams.t.workspaces.labels]\nmaxAccelerators = 8\nguarantees = [{ zone = "a", workers = 1, acceleratorsPerWorker = ${accelerators}}]\n`;

// Each row guards against a local check that decides otherwise than the recorders.
test.each([
  ['valid tree', worker + team('8'), 0, 'all guarantees can be placed'],
  ['too large', worker + team('9'), 6, 'cannot be placed together'],
  ['wrong type', worker + team('"8"'), 6, 'acceleratorsPerWorker: got "8", '],
  ['wrong value', worker.replace('127.0.0.1', 'localhost'), 6, 'zones/a/workers/w1/url: got'],
])('settings check: %s', async (_name, text, expected, message) => {
  const { code, out, errors } = await callCli(
    unreachableUrl,
    'settings',
    'check',
    writeFile('s.toml', text),
  );
  expect([code, out + errors]).toEqual([expected, expect.stringContaining(message)]);
});

// Guards against a subtree file that passes unchecked because it is read as a whole tree.
test('settings check of a subtree needs its path', async () => {
  const file = writeFile('zones.json', '{"a":{"workers":{"w1":{"rack":"r"}}}}');
  const { code, errors } = await callCli(
    unreachableUrl,
    'settings',
    'check',
    file,
    '--path',
    'zones',
  );
  expect([code, errors]).toEqual([6, expect.stringContaining('zones/a/workers/w1/url')]);
  expect((await callCli(unreachableUrl, 'settings', 'check', file)).errors).toContain(
    'give --path',
  );
  expect((await callCli(unreachableUrl, 'settings', 'check', file, '--path', 'teams')).code).toBe(
    2,
  );
});

// Guards against output of `settings show` that `settings propose` does not accept.
test('output of settings show can be proposed', async () => {
  const api = await serveApi(() => ({ ok: true, data: snapshot }));
  const { out } = await callCli(api.url, 'settings', 'show', 'teams/teddy');
  expect(out).toContain('# teams/teddy, version 5');
  const file = writeFile('teddy.toml', out);
  await callCli(api.url, 'settings', 'propose', 'teams/teddy', file, '--expect', '5');
  await callCli(api.url, 'settings', 'propose', 'teams/teddy', file, '--expect', 'new');
  await api.close();
  const expected = { path: 'teams/teddy', author: 'ada', subtree: snapshot.tree.teams.teddy };
  expect(api.commands[1]).toMatchObject({ ...expected, expectedVersion: 5 });
  expect(api.commands[2]).toMatchObject({ ...expected, expectedVersion: -1 });
});

// Guards against a table that omits limits or guarantees, and against JSON output that does not
// parse.
test('workspaces prints a table or JSON', async () => {
  const api = await serveApi(() => ({ ok: true, data: snapshot }));
  const table = await callCli(api.url, 'workspaces');
  const json = await callCli(api.url, 'workspaces', '--json');
  await api.close();
  expect(table.out.split('\n')[1]).toMatch(/^labels +teddy +2 +8 +9 +\[\]$/);
  expect(JSON.parse(json.out)).toEqual([{ name: 'labels', team: 'teddy', ...workspace }]);
});

// Guards against nested lists printed on one line, and control characters sent to the terminal.
test('nested lists are printed as tables', async () => {
  const data = { lead: true, peers: [{ node: 'vm-1/gateway' }, { node: 'vm-2/\u001b[2J' }] };
  const api = await serveApi(() => ({ ok: true, data }));
  const { out } = await callCli(api.url, 'settings', 'history');
  await api.close();
  expect(out).toBe('FIELD  VALUE\nlead   true\n\npeers:\nNODE\nvm-1/gateway\nvm-2/ [2J\n');
});

// Guards against a problem of a zone that operators cannot see in the status, or without its age.
test('status lists each problem with its age', async () => {
  const zone = {
    ...{ vmId: 'vm-1', lead: false, registeredWorkers: 8, heldWorkers: 3, settingsVersion: 4 },
    ...{ queuedRequests: 0, openGrants: 0, keysRefusedForMs: 9000, jobs: { running: 2 } },
    unplacedGuarantees: [{ workspace: 'labels', shape: 0, sinceWall: Date.now() - 60_000 }],
    peers: [{ node: 'vm-2/scheduler', linked: false, heardMsAgo: 7000 }],
  };
  const healthy = {
    ...{ ...zone, vmId: 'vm-3', lead: true, heldWorkers: 8, settingsVersion: 5 },
    ...{ keysRefusedForMs: 0, unplacedGuarantees: [], peers: [] },
  };
  const zones = { 'zone-a': zone, 'zone-b': healthy };
  const api = await serveApi(() => ({ ok: true, data: { zones } }));
  const { out } = await callCli(api.url, 'status');
  await api.close();
  expect(out.split('\n').slice(4)).toEqual([
    'Problems:',
    'zone-a: no lead: no new jobs and no keyed requests',
    'zone-a: 5 workers not held by a scheduler',
    'zone-a: settings version 4 is older than 5',
    'zone-a: keyed requests are refused for another 9 s',
    'zone-a: guarantee 0 of labels has been unplaced for 60 s',
    'zone-a: no message from vm-2/scheduler for 7 s',
    '',
  ]);
});

const describeNewJob = (id: string) =>
  describeJob(
    createJob({
      ...{ id, workspace: 'transects', zone: 'a', submittedWall: 0, phaseAt: 0 },
      spec: {
        ...{ tasks: 2, acceleratorsPerTask: 4, adjacency: 'rack', declaredMs: 1000 },
        ...{ preemptible: false, urgent: false, payload: '' },
      },
    }),
  );

// Guards against a job that the core describes in a form that the schemas of the commands reject.
test.each([
  ['list', 'labels'],
  ['show', 'labels', 'j1'],
  ['cancel', 'labels', 'j1'],
])('jobs %s accepts the response of the core', async (...argv) => {
  const job = describeNewJob('j1');
  const api = await serveApi(({ kind }) => ({ ok: true, data: kind === 'listJobs' ? [job] : job }));
  const { code, out, errors } = await callCli(api.url, 'jobs', ...argv);
  await api.close();
  expect([code, errors, out]).toEqual([0, '', expect.stringMatching(/j1[\s\S]*queued/)]);
});

// Guards against a watch that ends at a takeover, when the zone has no lead for a while, or that
// reports a failed job as a success.
test('jobs watch survives a refusal and reports the final state', async () => {
  const answers: CommandResult[] = [
    { ok: true, data: { id: 'j1', state: 'running' } },
    refuse({ reason: 'no-lead', outcome: 'not-run' }),
    { ok: true, data: { id: 'j1', state: 'failed', reason: 'gang-part-lost' } },
  ];
  const api = await serveApi(() => answers.shift() ?? { ok: true, data: null });
  const { code, errors } = await callCli(api.url, 'jobs', 'watch', 'labels', 'j1');
  await api.close();
  expect([code, errors]).toEqual([8, 'j1: running\nj1: failed (gang-part-lost)\n']);
});

// Guards against a search that ends at the first workspace that does not have the job.
test('explain job searches all workspaces', async () => {
  const teams = { ...snapshot.tree.teams, guild: { workspaces: { transects: workspace } } };
  const api = await serveApi((command) => {
    if (command.kind === 'showSettings') {
      return { ok: true, data: { ...snapshot, tree: { zones: {}, teams } } };
    }
    return command.kind === 'showJob' && command.workspace === 'transects'
      ? { ok: true, data: { ...describeNewJob('j1'), explanation: 'Needs 2 parts.' } }
      : refuse({ reason: 'unknown-job', outcome: 'not-run' });
  });
  const { code, out } = await callCli(api.url, 'explain', 'job', 'j1');
  await api.close();
  expect(code).toBe(0);
  expect(out).toContain('waits until all its parts fit at once');
  expect(out).toContain('Needs 2 parts.');
});

// Guards against an error response of the worker that has the exit code of a success.
test('request prints an error response and exits with 9', async () => {
  const api = await serveApi(() => ({ ok: true, data: {} }));
  const { code, out } = await callCli(api.url, 'request', 'GET', '/w/labels/models');
  await api.close();
  expect([code, out]).toEqual([9, '404 Not Found']);
});
