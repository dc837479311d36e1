import type { SettingsSnapshot } from '../../../src/core/settings/SettingsSnapshot.js';
import type { ZoneSettings } from '../../../src/core/settings/ZoneSettings.js';
import type { FakeWorker } from './FakeWorker.js';

const slots = 2;

/**
 * Builds a tree with the given workers, whose ports are numbered from 1, and two workspaces. With
 * `guaranteed`, workspace `beta` is guaranteed two whole workers of the first zone.
 */
export const makeSnapshot = (
  workers: FakeWorker[],
  version: number,
  zones: string[],
  guaranteed = false,
): SettingsSnapshot => {
  const makeZone = (zone: string): ZoneSettings => ({
    workers: Object.fromEntries(
      workers.flatMap((worker, index) =>
        worker.zone === zone
          ? [
              [
                worker.id,
                {
                  url: `http://127.0.0.1:${index + 1}`,
                  rack: `${zone}-r1`,
                  accelerators: slots,
                  slots,
                  connections: 64,
                  drained: false,
                },
              ],
            ]
          : [],
      ),
    ),
  });
  const workspace = { weight: 1, guarantees: [], maxAccelerators: 64, maxQueuedRequests: 1000 };
  const shape = { zone: zones[0]!, workers: 2, acceleratorsPerWorker: slots } as const;
  const guarantees = guaranteed ? [{ ...shape, adjacency: 'zone' as const }] : [];
  return {
    version,
    subtreeVersions: { zones: version, 'teams/t1': 0 },
    tree: {
      zones: Object.fromEntries(zones.map((zone) => [zone, makeZone(zone)])),
      teams: {
        t1: {
          tokenHashes: [],
          workspaces: { alpha: workspace, beta: { ...workspace, guarantees } },
        },
      },
    },
  };
};
