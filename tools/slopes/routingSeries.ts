import { reduce } from '../../src/core/reduce.js';
import type { State } from '../../src/core/State.js';
import { createDaemonState } from './createDaemonState.js';
import { createLoadedScheduler } from './createLoadedScheduler.js';
import { openLinks } from './openLinks.js';
import type { Series } from './Series.js';
import { seriesSizes } from './seriesSizes.js';
import type { Workload } from './Workload.js';
import { fixedTime } from './fixedTime.js';

const gateway = 'vm-000/gateway' as const;
const scheduler = 'vm-000/scheduler' as const;
const attempt = { requestId: 'vm-000-a1b2c3d4-17', attemptId: 'vm-000-a1b2c3d4-17.1' };

const createGrantCycles = (state: State): Workload => {
  const workspaces = [...state.settings.teamByWorkspace.keys()];
  const { requestId, attemptId } = attempt;
  return {
    operations: workspaces.length,
    run: () =>
      workspaces.forEach((workspace) => {
        const request = { requestId, attempt: 1, workspace, requestClass: 'labels' };
        const limits = { idempotent: true, timeoutMs: 10_000, avoid: [], from: gateway };
        reduce(state, { type: 'grantRequest', ...request, ...limits, ...fixedTime });
        const release = { requestId, attemptId, outcome: 'answered', elapsedMs: 80 } as const;
        reduce(state, { type: 'releaseGrant', ...release, from: gateway, ...fixedTime });
      }),
  };
};

const createGatewayRequest = (vms: number): Workload => {
  const state = createDaemonState('gateway');
  openLinks(state, vms);
  const { requestId, attemptId } = attempt;
  return {
    operations: 1,
    run: () => {
      const caller = { tokenHash: 'h', workspace: 'workspace-0001', requestClass: 'labels' };
      const limits = { idempotent: true, timeoutMs: 10_000, replayable: true };
      reduce(state, { type: 'callerRequested', requestId, ...caller, ...limits, ...fixedTime });
      const place = { workerId: 'worker-00001', url: 'http://10.0.0.1:9100' };
      const grant = { requestId, attemptId, ...place, waitedMs: 0, startWithinMs: 2000 };
      reduce(state, { type: 'grant', ...grant, from: scheduler, ...fixedTime });
      reduce(state, { type: 'attemptSent', requestId, attemptId, ...fixedTime });
      reduce(state, { type: 'attemptHeaders', requestId, attemptId, status: 200, ...fixedTime });
      reduce(state, { type: 'attemptEnded', requestId, attemptId, ...fixedTime });
    },
  };
};

/** Cost series of short requests. */
export const routingSeries: Readonly<Record<string, Series>> = {
  'grantRequest + releaseGrant': {
    axis: 'workers',
    operation: 'request at the scheduler',
    sizes: seriesSizes.workers,
    create: (workers) => createGrantCycles(createLoadedScheduler(workers)),
  },
  'grantRequest + releaseGrant, by workspaces': {
    axis: 'workspaces, one a team',
    operation: 'request at the scheduler',
    sizes: seriesSizes.workspaces,
    create: (teams) =>
      createGrantCycles(createDaemonState('scheduler', { teams, workspacesPerTeam: 1 })),
  },
  'callerRequested to attemptEnded': {
    axis: 'VMs linked',
    operation: 'request at the gateway',
    sizes: seriesSizes.vms,
    create: createGatewayRequest,
  },
};
