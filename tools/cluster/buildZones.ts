import type { Office } from './Office.js';

/** Builds the `zones` subtree that registers all workers of an office. */
export const buildZones = (office: Office): unknown =>
  Object.fromEntries(
    office.spec.zones.map((zone) => [
      zone,
      {
        workers: Object.fromEntries(
          office.workers
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
