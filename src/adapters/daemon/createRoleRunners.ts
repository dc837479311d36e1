import type { Role } from '../../core/Role.js';
import type { DaemonConfig } from '../config/DaemonConfig.js';
import type { EffectRunners } from '../EffectRunners.js';
import { createGatewayServer } from '../gateway/createGatewayServer.js';
import { createLogRunners } from '../log/createLogRunners.js';
import type { Logger } from '../logger/Logger.js';
import type { DaemonLoop } from '../loop/DaemonLoop.js';
import type { Metrics } from '../metrics/Metrics.js';
import { startVmListPoll } from '../vm-list/startVmListPoll.js';
import { createWorkerRunners } from '../worker/createWorkerRunners.js';

interface RunnerDependencies {
  config: DaemonConfig;
  loop: DaemonLoop;
  logger: Logger;
  metrics: Metrics;
}

const runnerFactories: Record<Role, (dependencies: RunnerDependencies) => EffectRunners> = {
  gateway: ({ config, loop, logger, metrics }) =>
    createGatewayServer({
      listen: { host: config.listen.host, port: config.listen.httpPort },
      push: loop.push,
      countRefusal: (reason) => metrics.runners.countRefusal({ type: 'countRefusal', reason }),
      logger,
    }).runners,
  scheduler: ({ config, loop }) => {
    startVmListPoll(config.vmList.url, loop.push);
    return createWorkerRunners(config.timing, loop.push);
  },
  recorder: ({ config, loop }) => createLogRunners(config.log.url, loop.push),
};

/** Creates the effect runners that are specific to a role. */
export const createRoleRunners = (role: Role, dependencies: RunnerDependencies): EffectRunners =>
  runnerFactories[role](dependencies);
