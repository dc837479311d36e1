import type { SettingsTree } from '../../src/core/settings/SettingsTree.js';
import type { TeamSettings } from '../../src/core/settings/TeamSettings.js';
import type { WorkerSettings } from '../../src/core/settings/WorkerSettings.js';
import type { ZoneSettings } from '../../src/core/settings/ZoneSettings.js';
import { targetSize } from './targetSize.js';
import type { SettingsTreeSize } from './SettingsTreeSize.js';

const workersPerRack = 6;

const formatZone = (index: number): string => `zone-${String(index).padStart(2, '0')}`;

const createWorker = (index: number): WorkerSettings => ({
  url: `http://10.${Math.floor(index / 65_536)}.${Math.floor(index / 256) % 256}.${index % 256}:9100`,
  rack: `rack-${String(Math.floor(index / workersPerRack)).padStart(4, '0')}`,
  accelerators: 8,
  slots: 8,
  connections: 64,
  drained: false,
});

const createZoneSettings = (firstWorker: number, count: number): ZoneSettings => ({
  workers: Object.fromEntries(
    Array.from({ length: count }, (_, offset) => [
      `worker-${String(firstWorker + offset).padStart(5, '0')}`,
      createWorker(firstWorker + offset),
    ]),
  ),
});

// Guarantees are spread over the target's zones, even if only one of these has workers.
const createTeam = (team: number, { workspacesPerTeam }: SettingsTreeSize): TeamSettings => ({
  tokenHashes: [String(team).padStart(64, 'a'), String(team).padStart(64, 'b')],
  workspaces: Object.fromEntries(
    Array.from({ length: workspacesPerTeam }, (_, index) => {
      const number = team * workspacesPerTeam + index;
      const zone = formatZone(number % targetSize.zones);
      return [
        `workspace-${String(number).padStart(4, '0')}`,
        {
          weight: 1,
          guarantees: [{ zone, workers: 2, acceleratorsPerWorker: 4, adjacency: 'zone' }],
          maxAccelerators: 100_000,
          maxQueuedRequests: 1000,
        },
      ];
    }),
  ),
});

/** Creates a settings tree with one guarantee for each workspace. */
export const createSettingsTree = (size: SettingsTreeSize): SettingsTree => {
  const workersPerZone = Math.ceil(size.workers / size.zones);
  return {
    zones: Object.fromEntries(
      Array.from({ length: size.zones }, (_, zone) => {
        const firstWorker = zone * workersPerZone;
        const count = Math.max(0, Math.min(workersPerZone, size.workers - firstWorker));
        return [formatZone(zone), createZoneSettings(firstWorker, count)];
      }),
    ),
    teams: Object.fromEntries(
      Array.from({ length: size.teams }, (_, team) => [
        `team-${String(team).padStart(3, '0')}`,
        createTeam(team, size),
      ]),
    ),
  };
};
