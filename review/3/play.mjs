/* eslint-disable import-x/extensions, no-await-in-loop -- Node needs the extension; the steps follow one another. */
// One repeated job, many of whose occurrences are due at once, and a small job of another tenant.
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import buildConfig from '../buildConfig.mjs';
import runCase from '../case.mjs';
import startStore from '../store.mjs';
import startWorkers from '../startWorkers.mjs';

const nodeCount = 3;
const workerCount = 4;
const runMs = 1000;
const taskCount = 12;
const intervalMs = 60_000;
// With trouble the job has been due once a minute for a week, otherwise for ten minutes.
const chooseOccurrences = (trouble) => (trouble ? 10_000 : 10);
const restartMs = 500;
const playMs = 50_000;
// The rule's figure: a process that ends by itself this often in a day, on two machines at least.
const maxOwnEnds = 3;
const repeatedId = '00000000000000c1';
const smallId = '00000000000000c2';
// Attempts of a client to hand in a job.
const maxAttempts = 5;

const play = async (tools) => {
  const { trouble, limits, record, wait, until, isReady, startNode, call, closeAtEnd } = tools;
  const store = await startStore({ limits, record });
  closeAtEnd(store.close);
  store.publish('keyed.op', 'config', buildConfig(1, ['match']));
  const plan = () => ({ durationMs: runMs, how: 'done' });
  const workers = await startWorkers(workerCount, { store, plan, record, closeAtEnd });
  const nodes = [];
  for (let index = 1; index <= nodeCount; index += 1) {
    nodes.push(await startNode(`vm-${index}`, store.port));
  }
  // A process that ends is started again after a short delay.
  const ownEnds = nodes.map((node) => node.keepRunning(restartMs));
  await Promise.all(nodes.map((node) => until(node.id, () => isReady(node), 15_000)));
  await wait(2000);
  const occurrences = chooseOccurrences(trouble);
  const body = {
    spec: 'one reading of all sensors',
    steps: [{ count: taskCount, cpu: 1000, mem_mb: 128, est_runtime_ms: runMs }],
    repeat_count: occurrences,
    start_at_ms: Date.now() - occurrences * intervalMs,
    interval_ms: intervalMs,
  };
  const countStarts = (id) =>
    workers.flatMap(({ starts }) => starts.filter(({ task }) => task.startsWith(id))).length;
  // Clients try again at another machine after no answer or a 503.
  const submit = async (id, key, content) => {
    const target = `/match/${id}`;
    const others = nodes.filter((node) => !node.leads());
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      const { port } = others[attempt % others.length];
      const { status } = await call(port, { method: 'POST', target, key, body: content });
      if (status === 200) return status;
      await wait(1000);
    }
    return 0;
  };
  const accepted = await submit(repeatedId, 'key-a', body);
  if (accepted !== 200) throw new Error('the repeated job was not accepted');
  const small = {
    spec: 'one label',
    steps: [{ count: 2, cpu: 1000, mem_mb: 128, est_runtime_ms: 200 }],
  };
  await wait(1000);
  const status = await submit(smallId, 'key-b', small);
  await wait(playMs);
  const target = `/match/${smallId}`;
  await call(nodes[nodeCount - 1].port, { method: 'GET', target, key: 'key-b' });
  record(`small job: answered with ${status}, ${countStarts(smallId)} starts`);
  record(`repeated job: ${countStarts(repeatedId)} starts`);
  const counts = ownEnds.map((count) => count());
  counts.forEach((count, index) => record(`${nodes[index].id}: ended by itself ${count} times`));
  const broken = [];
  if (counts.filter((count) => count >= maxOwnEnds).length >= 2) {
    broken.push(`Fault: processes ended by themselves ${counts.join(', ')} times`);
  }
  if (countStarts(repeatedId) === 0) {
    broken.push(`LOST ${repeatedId}: accepted, and nothing of it has started on idle workers`);
  }
  if (status === 200 && countStarts(smallId) === 0) {
    broken.push(`LOST ${smallId}: accepted, and nothing of it has started on idle workers`);
  }
  return broken;
};

await runCase(path.dirname(fileURLToPath(import.meta.url)), play);
