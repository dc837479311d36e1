import type { Cluster } from '../../../tools/cluster/Cluster.js';
import { sendRequest } from './sendRequest.js';
import type { SentRequest } from './SentRequest.js';

interface LoadOptions {
  name: string;
  ports: number[];
  everyMs: number;
  workMs?: number;
  timeoutMs?: number;
}

interface Load {
  /** Stops sending and returns all requests once the last has ended. */
  stop: () => Promise<SentRequest[]>;
}

/** Sends GET and POST requests by turns at a steady rate, each with a path of its own. */
export const startLoad = (
  cluster: Cluster,
  { name, ports, everyMs, ...rest }: LoadOptions,
): Load => {
  const sent: Promise<SentRequest>[] = [];
  const timer = setInterval(() => {
    const index = sent.length;
    sent.push(
      sendRequest(cluster, {
        ...rest,
        port: ports[index % ports.length]!,
        path: `/${name}/${index}`,
        // Each gateway receives both methods.
        method: Math.floor(index / ports.length) % 2 === 0 ? 'GET' : 'POST',
      }),
    );
  }, everyMs);
  // A test that fails before it stops its load must not keep the test process alive.
  timer.unref();
  return {
    stop: () => {
      clearInterval(timer);
      return Promise.all(sent);
    },
  };
};
