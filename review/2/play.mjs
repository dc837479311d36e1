/* eslint-disable import-x/extensions -- Node needs the extension. */
// More than 500 ends of one worker wait for their acknowledgement while the store is down.
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import buildConfig from '../buildConfig.mjs';
import runCase from '../case.mjs';
import findTwice from '../findTwice.mjs';
import startStore from '../store.mjs';
import startWorkers from '../startWorkers.mjs';

const taskCount = 600;
const outageMs = 4500;
// Run times spread over these, so that without an outage a few ends at a time are listed.
const shortestMs = 4000;
const spreadMs = 3500;
const job = '/match/00000000000000a1';

const plan = (task) => {
  const index = Number(task.split('.').at(-1));
  return { durationMs: shortestMs + (spreadMs * index) / taskCount, how: 'done' };
};

const play = async (tools) => {
  const { trouble, limits, record, wait, until, isReady, startNode, call, closeAtEnd } = tools;
  const store = await startStore({ limits, record });
  closeAtEnd(store.close);
  store.publish('keyed.op', 'config', buildConfig(1, ['match']));
  const workers = await startWorkers(2, { store, plan, record, closeAtEnd });
  const node = await startNode('vm-1', store.port);
  await until('a node that is ready', () => isReady(node), 15_000);
  await wait(2000);
  const body = {
    spec: 'small tasks',
    steps: [{ count: taskCount, cpu: 100, mem_mb: 128, est_runtime_ms: 5700 }],
  };
  const { status } = await call(node.port, { method: 'POST', target: job, body });
  if (status !== 200) throw new Error(`the job was answered with ${status}`);
  const countStarts = () => workers.reduce((sum, { starts }) => sum + starts.length, 0);
  await until('the start of all tasks', () => countStarts() >= taskCount, 10_000);
  workers.forEach((worker) => record(`${worker.id}: ${worker.countRunning()} tasks run`));
  await until('the first end', () => workers.some(({ ends }) => ends.length > 0), 10_000);
  if (trouble) {
    record('store: is down from now on');
    store.setOutage(true);
  }
  await wait(outageMs);
  if (trouble) {
    record('store: is back');
    store.setOutage(false);
  }
  await wait(10_000);
  await call(node.port, { method: 'GET', target: job });
  record(`${countStarts()} starts of ${taskCount} tasks`);
  return findTwice(workers);
};

await runCase(path.dirname(fileURLToPath(import.meta.url)), play);
