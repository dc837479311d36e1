import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { setTimeout as waitMs } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { createWorkerRunners } from '../../src/adapters/worker/createWorkerRunners.js';
import { defaultTiming } from '../../src/core/defaultTiming.js';
import type { UntimedEvent } from '../../src/core/UntimedEvent.js';
import { addRunningTasks } from './addRunningTasks.js';
import { createDaemonState } from './createDaemonState.js';
import { createWorkerReport } from './createWorkerReport.js';

const measuredSeconds = 4;
const burstIntervalMs = 100;

/**
 * Measures the processor time, in microseconds, of one lease renewal with the real HTTP client over
 * loopback, for a worker with 5 tasks. All calls go to one origin, so connections are reused.
 */
export const measureRenewalCpu = async (
  callsPerSecond: number,
): Promise<{ answered: number; failed: number; cpuUs: number }> => {
  const state = createDaemonState('scheduler', { workers: 1, teams: 1 });
  addRunningTasks(state, 5, 1);
  const [workerId = ''] = state.ownership.leases.keys();
  const report = createWorkerReport(state, workerId);
  const serverScript = fileURLToPath(new URL('./serveReports.js', import.meta.url));
  const server = spawn(process.execPath, [serverScript, JSON.stringify(report)], {
    stdio: ['pipe', 'pipe', 'inherit'],
  });
  const [port] = (await once(server.stdout, 'data')) as [Buffer];
  const counts: Partial<Record<UntimedEvent['type'], number>> = {};
  const { callWorker } = createWorkerRunners(defaultTiming, ({ type }) => {
    counts[type] = (counts[type] ?? 0) + 1;
  });
  const lease = { kind: 'lease', purpose: 'renew', sentAt: 0, holder: 'vm-000/a1b2c3d4' } as const;
  const renewTasks = report.tasks.map(({ taskId }) => taskId);
  const call = { ...lease, leaseMs: 3000, taskLeaseMs: 8000, renewTasks };
  const url = `http://127.0.0.1:${String(port).trim()}`;
  const runBursts = async (bursts: number): Promise<void> => {
    for (let burst = 0; burst < bursts; burst += 1) {
      for (let sent = 0; sent < (callsPerSecond * burstIntervalMs) / 1000; sent += 1) {
        callWorker({ type: 'callWorker', workerId, url, call });
      }
      // eslint-disable-next-line no-await-in-loop -- the bursts must run one after the other
      await waitMs(burstIntervalMs);
    }
  };
  // Warm-up of one second.
  await runBursts(1000 / burstIntervalMs);
  const before = { ...counts };
  const start = process.cpuUsage();
  await runBursts((measuredSeconds * 1000) / burstIntervalMs);
  const { user, system } = process.cpuUsage(start);
  server.stdin.end();
  const answered = (counts.leaseAnswered ?? 0) - (before.leaseAnswered ?? 0);
  return { answered, failed: counts.leaseFailed ?? 0, cpuUs: (user + system) / answered };
};
