import { StatsD } from 'hot-shots';
import type { NodeIdentity } from '../../core/NodeIdentity.js';
import type { Logger } from '../logger/Logger.js';
import type { Metrics } from './Metrics.js';

/**
 * Creates the metrics client of a daemon. Errors of the socket are logged once and then ignored,
 * because a missing receiver must not affect the daemon or fill its log.
 */
export const createMetrics = (
  statsd: { host: string; port: number },
  self: NodeIdentity,
  logger: Pick<Logger, 'write'>,
): Metrics => {
  let errorLogged = false;
  const handleError = (error: Error): void => {
    if (errorLogged) return;
    errorLogged = true;
    logger.write('warn', 'metrics_unavailable', { error: error.message });
  };
  const client = new StatsD({
    host: statsd.host,
    port: statsd.port,
    protocol: 'udp',
    // Metrics are sent in batches of at most this many bytes, which fit the usual MTU.
    maxBufferSize: 1400,
    // Milliseconds.
    bufferFlushInterval: 1000,
    prefix: 'siskinhollow.',
    globalTags: { zone: self.zone, vm: self.vmId, role: self.role },
    includeDataDogTags: false,
    errorHandler: handleError,
  });
  return {
    runners: {
      countRefusal: ({ reason }) => client.increment('refusals', 1, { reason }),
      countRetry: ({ reason }) => client.increment('retries', 1, { reason }),
      count: ({ name }) => client.increment(name, 1),
      gauge: ({ name, value }) => client.gauge(name, value),
    },
    close: () => client.close((error) => error && handleError(error)),
  };
};
