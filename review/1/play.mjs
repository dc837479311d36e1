/* eslint-disable import-x/extensions -- Node needs the extension. */
// The zone of the leader is cut off from the store, the other zones and their machines.
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import buildConfig from '../buildConfig.mjs';
import runCase from '../case.mjs';
import findTwice from '../findTwice.mjs';
import startProxy from '../proxy.mjs';
import startStore from '../store.mjs';
import startWorkers from '../startWorkers.mjs';

// Two cuts of 6.3 s, one after the other.
const cutMs = 12_600;
// An entry of a worker is removed after three heartbeat intervals of silence.
const entryMs = 4500;
const runMs = 20_000;
const job = '/match/00000000000000a0';
// Keeps one worker of the other zone full until the cut has begun, so that there is room later.
const fillerId = '00000000000000a9';
const fillerMs = 8000;
const noCut = { isFromStore: false, isCallLost: () => false };

const play = async (tools) => {
  const { trouble, limits, record, wait, until, isReady, startNode, call, closeAtEnd } = tools;
  const store = await startStore({ limits, record });
  closeAtEnd(store.close);
  store.publish('keyed.op', 'config', buildConfig(1, ['match']));
  const plan = (task) => ({
    durationMs: task.startsWith(fillerId) ? fillerMs : runMs,
    how: 'done',
  });
  // The second worker is in the zone of vm-1, the others are in that of vm-2 and have the label r0.
  const workers = await startWorkers(3, { store, plan, record, closeAtEnd });
  const proxy = await startProxy(store.port);
  closeAtEnd(proxy.close);
  const leader = await startNode('vm-1', proxy.port);
  await until('the leader', () => leader.leads(), 15_000);
  const other = await startNode('vm-2', store.port);
  await until('the second node', () => isReady(other), 15_000);
  await wait(3000);
  if (!leader.leads()) throw new Error('vm-1 does not lead');
  const inZone = workers[1];
  const outside = [workers[0], workers[2]];
  const submit = async (target, step) => {
    const body = { spec: 'photograph matching', steps: [step] };
    const { status } = await call(other.port, { method: 'POST', target, body });
    if (status !== 200) throw new Error(`the job was answered with ${status}`);
  };
  const need = { cpu: 1000, mem_mb: 128 };
  await submit(`/match/${fillerId}`, { ...need, count: 1, gpu: 8, requirements: 'r0' });
  await until('the filler', () => outside.some((w) => w.countRunning() === 1), 5000);
  await submit(job, { ...need, count: 8, gpu: 2, est_runtime_ms: runMs });
  await until('tasks in the zone of vm-1', () => inZone.countRunning() === 4, 5000);
  await wait(1000);
  // The first term has the token 1; calls with a higher one come from vm-2.
  const isFromFirst = ({ fencing_token: token }) => token === 1;
  if (trouble) {
    record('zone of vm-1 is cut off: vm-1 and one worker reach each other only');
    proxy.setCut(true);
    inZone.setCut({ isFromStore: true, isCallLost: (order) => !isFromFirst(order) });
    outside.forEach((worker) => worker.setCut({ isFromStore: false, isCallLost: isFromFirst }));
  }
  await wait(entryMs);
  if (trouble) store.publish('keyed.servers', inZone.id, null);
  await wait(cutMs - entryMs);
  if (trouble) {
    record('the cut is over');
    proxy.setCut(false);
    workers.forEach((worker) => worker.setCut(noCut));
  }
  await wait(15_000);
  await call(other.port, { method: 'GET', target: job });
  return findTwice(workers);
};

await runCase(path.dirname(fileURLToPath(import.meta.url)), play);
