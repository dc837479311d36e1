import { reduce } from '../../src/core/reduce.js';
import type { NodeId } from '../../src/core/NodeId.js';
import { createDaemonState } from './createDaemonState.js';
import { openLinks } from './openLinks.js';
import type { Series } from './Series.js';
import { seriesSizes } from './seriesSizes.js';
import type { Workload } from './Workload.js';
import { fixedTime } from './fixedTime.js';

const createHeartbeats = (vms: number): Workload => {
  const state = createDaemonState('gateway');
  openLinks(state, vms);
  const senders = [...state.membership.peers.values()].flatMap(({ node, heartbeat }) =>
    heartbeat ? [[node, heartbeat] as const] : [],
  );
  return {
    operations: senders.length,
    run: () =>
      senders.forEach(([from, heartbeat]: readonly [NodeId, (typeof senders)[number][1]]) =>
        reduce(state, { type: 'heartbeat', ...heartbeat, from, ...fixedTime }),
      ),
  };
};

const createHeartbeatTick = (vms: number): Workload => {
  const state = createDaemonState('scheduler');
  openLinks(state, vms);
  return {
    operations: 1,
    prepare: () => {
      state.membership.nextHeartbeatAt = 0;
      state.membership.nextRemoteHeartbeatAt = 0;
    },
    run: () => reduce(state, { type: 'tick', ...fixedTime }),
  };
};

const createGatewayTick = (vms: number): Workload => {
  const state = createDaemonState('gateway');
  openLinks(state, vms);
  return { operations: 1, run: () => reduce(state, { type: 'tick', ...fixedTime }) };
};

/** Cost series of the links between daemons. */
export const membershipSeries: Readonly<Record<string, Series>> = {
  'heartbeat received': {
    axis: 'VMs linked',
    operation: 'event',
    sizes: seriesSizes.vms,
    create: createHeartbeats,
  },
  'tick of a lead, all heartbeats due': {
    axis: 'VMs linked',
    operation: 'tick',
    sizes: seriesSizes.vms,
    create: createHeartbeatTick,
  },
  'tick of a gateway': {
    axis: 'VMs linked',
    operation: 'tick',
    sizes: seriesSizes.vms,
    create: createGatewayTick,
  },
};
