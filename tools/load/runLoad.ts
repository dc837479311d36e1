import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { createRandom } from '../../test/fuzz/simulation/createRandom.js';
import { findFreePorts } from '../cluster/findFreePorts.js';
import type { ManagedProcess } from '../cluster/ManagedProcess.js';
import { startProcess } from '../cluster/startProcess.js';
import { stopProcess } from '../cluster/stopProcess.js';
import { waitMs } from '../cluster/waitMs.js';
import { buildOperatorConfig } from '../soak/buildOperatorConfig.js';
import { formatSettings } from '../soak/formatSettings.js';
import { publishRecord } from '../soak/publishRecord.js';
import { sendClientRequest } from '../soak/sendClientRequest.js';
import { createJobBody } from './createJobBody.js';
import type { LoadOptions } from './LoadOptions.js';
import { readProcessCpuMs } from './readProcessCpuMs.js';
import { readProfile } from './readProfile.js';

interface LoadReport {
  options: LoadOptions;
  /** Share of a core that the daemon used during the load. */
  cores: number;
  /** Submissions by HTTP status; 0 counts those without an answer. */
  statuses: Record<number, number>;
  /** Log lines of the daemon by event code. */
  logCounts: Record<string, number>;
  /** Functions of the daemon with the largest shares of its busy time. */
  functions: { name: string; self: number; total: number }[];
}

// Store, frontend, readiness and metrics.
const daemonPorts = 4;
const workersPerRack = 20;
const capacity = { cpu: 64_000, mem_mb: 131_072, gpu: 8 };
const startupMs = 4000;
const exitTimeoutMs = 8000;
const idDigits = 16;

// Accelerators that the workspace can always reclaim.
const guaranteedGpu = 64;

const publishWorkers = async (storePort: number, workerPorts: readonly number[]) => {
  await publishRecord(storePort, 'keyed.op', 'config', buildOperatorConfig(guaranteedGpu));
  for (const [index, port] of workerPorts.entries()) {
    const labels = ['a', `r${Math.floor(index / workersPerRack)}`];
    const address = `127.0.0.1:${port}`;
    const entry = { service: 'svc', address, zone: 'zone-a', state: 'ready', capacity, labels };
    // eslint-disable-next-line no-await-in-loop -- one append at a time.
    await publishRecord(storePort, 'keyed.servers', `w${index}`, { ...entry, born: 1 });
  }
};

const submitJobs = async (port: number, options: LoadOptions): Promise<Record<number, number>> => {
  const random = createRandom(options.seed);
  const statuses: Record<number, number> = {};
  const pending: Promise<void>[] = [];
  const total = Math.round(options.jobRate * options.seconds);
  for (let number = 1; number <= total; number += 1) {
    const id = number.toString(16).padStart(idDigits, '0');
    const route = random() < 0.5 ? 'u' : 'b';
    const body = createJobBody(options, random);
    pending.push(
      sendClientRequest(port, 'POST', `/${route}/${id}`, body).then(({ status }) => {
        statuses[status] = (statuses[status] ?? 0) + 1;
      }),
    );
    // eslint-disable-next-line no-await-in-loop -- spreads the submissions over time.
    await waitMs(1000 / options.jobRate);
  }
  await Promise.all(pending);
  return statuses;
};

const countLogCodes = ({ lines }: ManagedProcess): Record<string, number> => {
  const counts: Record<string, number> = {};
  lines.forEach((line) => {
    const code = /"code":"([^"]+)"/.exec(line)?.[1] ?? 'other';
    counts[code] = (counts[code] ?? 0) + 1;
  });
  return counts;
};

const shownFunctions = 60;

/** Runs one daemon under load on stand-ins and reports where its CPU time went. */
export const runLoad = async (options: LoadOptions): Promise<LoadReport> => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'siskin-load-'));
  const [storePort, frontPort, readinessPort, metricsPort, ...workerPorts] = (await findFreePorts(
    daemonPorts + options.workers,
  )) as [number, number, number, number, ...number[]];
  const settingsFile = path.join(folder, 'vm-1.toml');
  fs.writeFileSync(
    settingsFile,
    formatSettings({ id: 'vm-1', frontPort, readinessPort, storePort }),
  );
  const processes = [
    startProcess('store', 'dist/standins/store/main.js', ['--port', String(storePort)]),
    startProcess('workers', 'dist/tools/load/workersMain.js', ['--ports', workerPorts.join(',')]),
  ];
  try {
    await waitMs(1000);
    await publishWorkers(storePort, workerPorts);
    const profileFlags = options.profile ? ['--cpu-prof', `--cpu-prof-dir=${folder}`] : [];
    const nodeFlags = [...options.nodeFlags.split(' ').filter(Boolean), ...profileFlags];
    const daemonArgs = ['target/siskin-node.cjs', '--metrics-port', String(metricsPort)];
    const [firstArg = '', ...otherArgs] = [...nodeFlags, ...daemonArgs];
    const daemon = startProcess('vm-1', firstArg, otherArgs, {
      SISKINHOLLOW_BOOT: settingsFile,
    });
    processes.push(daemon);
    await waitMs(startupMs);
    const cpuBeforeMs = readProcessCpuMs(daemon.pid);
    const statuses = await submitJobs(frontPort, options);
    const cores = (readProcessCpuMs(daemon.pid) - cpuBeforeMs) / (options.seconds * 1000);
    await stopProcess(daemon, 'SIGTERM', exitTimeoutMs);
    const profileFile = fs.readdirSync(folder).find((name) => name.endsWith('.cpuprofile'));
    return {
      options,
      cores,
      statuses,
      logCounts: countLogCodes(daemon),
      functions: profileFile
        ? readProfile(path.join(folder, profileFile)).slice(0, shownFunctions)
        : [],
    };
  } finally {
    await Promise.all(processes.map((child) => stopProcess(child, 'SIGKILL', exitTimeoutMs)));
    fs.rmSync(folder, { recursive: true, force: true });
  }
};
