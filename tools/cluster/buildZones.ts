import type { Cluster } from './Cluster.js';

/** Builds the `zones` subtree that registers all workers of a cluster. */
export const buildZones = (cluster: Cluster): unknown =>
  Object.fromEntries(
    cluster.spec.zones.map((zone) => [
      zone,
      {
        workers: Object.fromEntries(
          cluster.workers
            .filter((worker) => worker.zone === zone)
            .map(({ id, port, rack }) => [
              id,
              {
                url: `http://127.0.0.1:${port}`,
                rack,
                accelerators: 8,
                slots: 8,
                connections: 64,
                drained: false,
              },
            ]),
        ),
      },
    ]),
  );
