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
  /** Stops sending and resolves with all requests after the last response. */
  stop: () => Promise<SentRequest[]>;
}

/** Sends GET and POST requests to each port in turn at a constant rate, each with a unique path. */
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
        // The method changes after each round over the ports, so that each gateway receives both.
        method: Math.floor(index / ports.length) % 2 === 0 ? 'GET' : 'POST',
      }),
    );
  }, everyMs);
  // A test that fails before it stops its load must not keep the process of jest alive.
  timer.unref();
  return {
    stop: () => {
      clearInterval(timer);
      return Promise.all(sent);
    },
  };
};
