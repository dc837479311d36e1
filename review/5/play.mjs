/* eslint-disable import-x/extensions -- Node needs the extension. */
// One connection of the leader to the store goes silent while a configuration adds a queue.
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import buildConfig from '../buildConfig.mjs';
import runCase from '../case.mjs';
import startProxy from '../proxy.mjs';
import startStore from '../store.mjs';
import startWorkers from '../startWorkers.mjs';

const runMs = 1500;
const taskId = '00000000000000d1.0.0.0';
const job = '/label/00000000000000d1';
const maxAttempts = 3;

// The first run of the task fails through its own fault, the second one completes.
const plan = (_task, run) => ({ durationMs: runMs, how: run === 1 ? 'failed' : 'done' });

const play = async (tools) => {
  const { trouble, limits, record, wait, until, isReady, startNode, call, closeAtEnd } = tools;
  const store = await startStore({ limits, record });
  closeAtEnd(store.close);
  store.publish('keyed.op', 'config', buildConfig(1, ['match']));
  const workers = await startWorkers(2, { store, plan, record, closeAtEnd });
  const proxy = await startProxy(store.port);
  closeAtEnd(proxy.close);
  const leader = await startNode('vm-1', proxy.port);
  await until('the leader', () => leader.leads(), 15_000);
  const other = await startNode('vm-2', store.port);
  await until('the second node', () => isReady(other), 15_000);
  await wait(3000);
  if (!leader.leads()) throw new Error('vm-1 does not lead');
  if (trouble) {
    let silenced = [];
    const isConfigRead = (request) => request.includes('topic=keyed.op&');
    await until(
      'a read of the configuration that waits',
      () => {
        silenced = proxy.silence(isConfigRead);
        return silenced.length > 0;
      },
      5000,
    );
    record(`connections of vm-1 that go silent: ${silenced.join(', ')}`);
  }
  record('operator: version 2 adds the queue `label`');
  store.publish('keyed.op', 'config', buildConfig(2, ['match', 'label']));
  await wait(100);
  const body = {
    spec: 'one label',
    steps: [{ count: 1, cpu: 1000, mem_mb: 128, gpu: 1, est_runtime_ms: runMs }],
  };
  const { status } = await call(other.port, { method: 'POST', target: job, body });
  if (status !== 200) throw new Error(`the job was answered with ${status}`);
  await wait(12_000);
  const shown = await call(other.port, { method: 'GET', target: job });
  await call(leader.port, { method: 'GET', target: job });
  const failures = workers.flatMap(({ ends }) =>
    ends.filter(({ task, how }) => task === taskId && how === 'failed'),
  ).length;
  record(`${failures} of ${maxAttempts} attempts ended as failed`);
  if (shown.answer.state !== 'failed' || failures >= maxAttempts) return [];
  return [
    `LOST ${job}: shown as failed after ${failures} of ${maxAttempts} attempts had ended as failed`,
  ];
};

await runCase(path.dirname(fileURLToPath(import.meta.url)), play);
