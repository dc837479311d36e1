import { createHash } from 'node:crypto';
import { expect, test } from '@jest/globals';
import { createApiRoutes } from '../../../src/adapters/api/createApiRoutes.js';
import type { CommandResult } from '../../../src/core/commands/CommandResult.js';
import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';

const spec = { tasks: 2, acceleratorsPerTask: 4, declaredMs: 60_000 };

const callApi = async (
  method: string,
  path: string,
  options: { headers?: Record<string, string>; body?: unknown; result?: CommandResult } = {},
) => {
  const events: Extract<UntimedEvent, { type: 'commandRequested' }>[] = [];
  const countedRefusals: string[] = [];
  const routes = createApiRoutes({
    push: (event) => {
      if (event.type === 'commandRequested') events.push(event);
    },
    waitForCommandResult: () => Promise.resolve(options.result ?? { ok: true, data: { ok: true } }),
    countRefusal: (reason) => countedRefusals.push(reason),
  });
  const response = await routes.request(path, {
    method,
    headers: { authorization: 'Bearer secret', ...options.headers },
    ...(options.body === undefined ? {} : { body: JSON.stringify(options.body) }),
  });
  const json = (await response.json()) as Record<string, unknown>;
  return { response, json, countedRefusals, command: events[0]?.command, event: events[0] };
};

// Guards against a repeated submission that creates a second job.
test('idempotency key gives one job id per workspace', async () => {
  const headers = { 'idempotency-key': 'a' };
  const first = await callApi('POST', '/v1/workspaces/ws-1/jobs', { headers, body: spec });
  const again = await callApi('POST', '/v1/workspaces/ws-1/jobs', { headers, body: spec });
  const other = await callApi('POST', '/v1/workspaces/ws-2/jobs', { headers, body: spec });
  expect(first.response.status).toBe(202);
  expect(first.response.headers.get('location')).toMatch(
    /^\/v1\/workspaces\/ws-1\/jobs\/k[0-9a-f]{24}$/,
  );
  expect(again.command).toEqual(first.command);
  expect(other.response.headers.get('location')).not.toBe(first.response.headers.get('location'));
});

// Guards against a token that reaches the core, the log or the mesh in plain text.
test('token is hashed', async () => {
  const { event } = await callApi('GET', '/v1/status');
  expect(event?.tokenHash).toBe(createHash('sha256').update('secret').digest('hex'));
});

// Each row guards against a route that sends the wrong command to the core.
test.each([
  ['GET', '/v1/workspaces/w/jobs', { kind: 'listJobs', workspace: 'w' }],
  ['GET', '/v1/workspaces/w/jobs/j1', { kind: 'showJob', workspace: 'w', jobId: 'j1' }],
  ['DELETE', '/v1/workspaces/w/jobs/j1', { kind: 'cancelJob', workspace: 'w', jobId: 'j1' }],
  ['GET', '/v1/settings', { kind: 'showSettings' }],
  ['GET', '/v1/settings-history?path=teams/t', { kind: 'listProposals', path: 'teams/t' }],
  [
    'GET',
    '/v1/workspaces/w/usage?from=2030-01-01T00:00:00Z&to=2030-01-01T00:00:01Z',
    { kind: 'reportUsage', workspace: 'w', fromWall: 1_893_456_000_000, toWall: 1_893_456_001_000 },
  ],
])('command of %s %s', async (method, path, expected) => {
  expect((await callApi(method, path)).command).toEqual(expected);
});

// Guards against a proposal that loses its expected version or its author, or the path after the
// slash.
test('proposal carries path, version and author', async () => {
  const headers = { 'if-match': '"12"', 'siskin-author': 'ada' };
  const body = { tokenHashes: [], workspaces: {} };
  const { command } = await callApi('PUT', '/v1/settings/teams/t', { headers, body });
  const expected = { path: 'teams/t', expectedVersion: 12, author: 'ada', subtree: body };
  expect(command).toMatchObject({ kind: 'proposeSettings', ...expected });
});

// Guards against a team that cannot be removed, because a null body is refused or read as missing.
test('null subtree reaches the core', async () => {
  const headers = { 'if-match': '12', 'siskin-author': 'ada' };
  const { command } = await callApi('PUT', '/v1/settings/teams/t', { headers, body: null });
  expect(command).toMatchObject({ kind: 'proposeSettings', subtree: null });
});

// Each row guards against malformed input that reaches the core or is refused without its field.
test.each([
  ['POST', '/v1/workspaces/w/jobs', { body: { ...spec, tasks: 0 } }, 400, 'body.tasks: expected'],
  ['POST', '/v1/workspaces/w/jobs', {}, 400, 'body: expected JSON'],
  ['POST', '/v1/workspaces/w/jobs', { body: 'x'.repeat(1_048_577) }, 413, 'exceeds'],
  ['PUT', '/v1/settings/teams/t', { body: {} }, 400, 'If-Match: expected'],
  ['PUT', '/v1/settings/teams/t/u', { body: {} }, 400, 'expected "zones" or "teams/TEAM"'],
  ['GET', '/v1/workspaces/w/usage?from=1', {}, 400, 'query.from: expected a UTC time'],
  ['GET', '/v1/status', { headers: { authorization: 'Basic x' } }, 401, 'no valid token'],
])('refused before the core: row %#, %s %s', async (method, path, options, status, detail) => {
  const { response, json, command, countedRefusals } = await callApi(method, path, options);
  expect([response.status, json.outcome, command]).toEqual([status, 'not-run', undefined]);
  expect(json.detail).toContain(detail);
  expect(countedRefusals).toEqual([json.code]);
});

// Guards against a refusal by the core that loses its retry delay or is counted twice.
test('refusal of the core becomes a problem with Retry-After', async () => {
  const refusal = { reason: 'no-lead', outcome: 'not-run', retryAfterMs: 1200 } as const;
  const { response, json, countedRefusals } = await callApi('GET', '/v1/workspaces/w/jobs', {
    result: { ok: false, refusal },
  });
  expect([response.status, response.headers.get('retry-after')]).toEqual([503, '2']);
  expect(response.headers.get('content-type')).toBe('application/problem+json');
  expect([json.code, countedRefusals.length]).toEqual(['no-lead', 0]);
});
