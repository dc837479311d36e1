// One large job is accepted; its stored progress outgrows a record of the store. See claim.txt.
/* eslint-disable import-x/extensions -- Node needs the extension. */
import process from 'node:process';
import { fileURLToPath, URL } from 'node:url';
import { buildConfig, otherKey, runCase, startDeployment, waitMs } from '../deployment-2.mjs';

const largeTasks = 8192;
const smallTasks = 2048;
const steps = 2;
const beforeProbeMs = 7000;
const judgedMs = 25_000;
const idleMs = 3000;
const capacity = { cpu: 64_000, mem_mb: 131_072, gpu: 8 };
const workers = Array.from({ length: 16 }, (_, index) => ({
  id: `i-7f3a91${(index + 16).toString(16)}`,
  entry: { capacity, labels: ['a', `r1-${Math.floor(index / 6)}`] },
}));
const largeId = '00000000000000aa';
const probeId = '00000000000000bb';
const buildJob = (count) => ({
  spec: 'large',
  steps: Array.from({ length: steps }, () => ({
    count: count / steps,
    cpu: 40,
    mem_mb: 64,
    est_runtime_ms: 600_000,
    checkpointing: true,
  })),
});
const probe = { spec: 'probe', steps: [{ count: 1, cpu: 10, mem_mb: 16, est_runtime_ms: 500 }] };
const behave = (_task, spec) =>
  spec === 'probe'
    ? { ms: 500, how: 'done', saves: false }
    : { ms: 600_000, how: 'done', saves: true };

const play = async ({ hasTrouble }) => {
  const folder = fileURLToPath(new URL('.', import.meta.url));
  const config = buildConfig();
  const deployment = await startDeployment({ folder, vms: 3, workers, config, behave });
  const { record, elapsedMs } = deployment;
  let started = 0;
  let probeStartedAt = null;
  deployment.onObserved((what, { task }) => {
    if (what !== 'start') return;
    started += 1;
    if (task.startsWith(probeId)) probeStartedAt ??= elapsedMs();
  });
  const countRunning = () =>
    deployment.workers.reduce((sum, worker) => sum + worker.listRuns().length, 0);
  try {
    if (!(await deployment.waitUntilReady())) return 2;
    const job = buildJob(hasTrouble ? largeTasks : smallTasks);
    if (!(await deployment.submit(`/b/${largeId}`, job, otherKey))) return 2;
    await waitMs(beforeProbeMs);
    record('runs', { started, running: countRunning() });
    if (!(await deployment.submit(`/b/${probeId}`, probe))) return 2;
    const acceptedAt = elapsedMs();
    await waitMs(judgedMs);
    const waited = (probeStartedAt ?? elapsedMs()) - acceptedAt;
    await deployment.request('GET', `/b/${probeId}`);
    record('verdict', { started, running: countRunning(), waited });
    process.stdout.write(`${started} starts; the small job waited ${waited} ms\n`);
    return waited > idleMs ? 1 : 0;
  } finally {
    await deployment.close();
  }
};

runCase(play);
