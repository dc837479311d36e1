import { randomUUID } from 'node:crypto';
import { createState } from '../../core/createState.js';
import { getOwnNodeId } from '../../core/getOwnNodeId.js';
import type { Role } from '../../core/Role.js';
import type { NodeIdentity } from '../../core/NodeIdentity.js';
import { findMeshAddress } from '../config/findMeshAddress.js';
import type { DaemonConfig } from '../config/DaemonConfig.js';
import { createLogger } from '../logger/createLogger.js';
import { createDaemonLoop } from '../loop/createDaemonLoop.js';
import { createMesh } from '../mesh/createMesh.js';
import { listMeshPeers } from '../mesh/listMeshPeers.js';
import { createMetrics } from '../metrics/createMetrics.js';
import { createRoleRunners } from './createRoleRunners.js';

const tickIntervalMs = 100;
// Lets the last messages, metrics and log lines be sent.
const exitDelayMs = 200;

const createSelf = (role: Role, config: DaemonConfig): NodeIdentity => ({
  vmId: config.vmId,
  zone: config.zone,
  role,
  incarnation: randomUUID().slice(0, 8),
});

/** Starts one daemon: its state, its event loop and the adapters of its role. */
export const startDaemon = (role: Role, config: DaemonConfig): void => {
  const self = createSelf(role, config);
  const logger = createLogger(self, config.logLevel);
  const metrics = createMetrics(config.statsd, self, logger);
  const loop = createDaemonLoop(createState(self, config.rootTokenHash, config.timing));
  const ownAddress = findMeshAddress(config, getOwnNodeId(self))!;
  const mesh = createMesh({
    self,
    secret: config.meshSecret,
    listen: { host: config.listen.host, port: ownAddress.port },
    peers: listMeshPeers(config).filter((peer) => peer.node !== getOwnNodeId(self)),
    push: loop.push,
    count: (name) => metrics.runners.count({ type: 'count', name }),
    logger,
  });
  loop.attach({ ...logger.runners, ...metrics.runners, ...mesh.runners });
  loop.attach(createRoleRunners(role, { config, loop, logger, metrics }));
  loop.attach({
    exit: () => {
      mesh.close();
      metrics.close();
      setTimeout(() => process.exit(0), exitDelayMs);
    },
  });
  setInterval(() => loop.push({ type: 'tick' }), tickIntervalMs);
  const handleStopSignal = (): void => loop.push({ type: 'shutdownRequested' });
  process.on('SIGTERM', handleStopSignal);
  process.on('SIGINT', handleStopSignal);
  logger.write('info', 'daemon_started', { incarnation: self.incarnation });
};
