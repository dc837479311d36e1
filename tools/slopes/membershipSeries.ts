import { reduce } from '../../src/core/reduce.js';
import type { NodeId } from '../../src/core/NodeId.js';
import { createDaemonState } from './createDaemonState.js';
import { openLinks } from './openLinks.js';
import type { Series } from './Series.js';
import { seriesSizes } from './seriesSizes.js';
import type { Subject } from './Subject.js';
import { virtualTime } from './virtualTime.js';

const createHeartbeats = (vms: number): Subject => {
  const state = createDaemonState('gateway');
  openLinks(state, vms);
  const senders = [...state.membership.peers.values()].flatMap(({ node, heartbeat }) =>
    heartbeat ? [[node, heartbeat] as const] : [],
  );
  return {
    operations: senders.length,
    run: () =>
      senders.forEach(([from, heartbeat]: readonly [NodeId, (typeof senders)[number][1]]) =>
        reduce(state, { type: 'heartbeat', ...heartbeat, from, ...virtualTime }),
      ),
  };
};

const createHeartbeatTick = (vms: number): Subject => {
  const state = createDaemonState('scheduler');
  openLinks(state, vms);
  return {
    operations: 1,
    prepare: () => {
      state.membership.nextHeartbeatAt = 0;
      state.membership.nextRemoteHeartbeatAt = 0;
    },
    run: () => reduce(state, { type: 'tick', ...virtualTime }),
  };
};

const createGatewayTick = (vms: number): Subject => {
  const state = createDaemonState('gateway');
  openLinks(state, vms);
  return { operations: 1, run: () => reduce(state, { type: 'tick', ...virtualTime }) };
};

/** Costs of links between daemons. */
export const memberSeries: Readonly<Record<string, Series>> = {
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
