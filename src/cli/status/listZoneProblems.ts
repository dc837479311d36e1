import type { ApiStatus } from './ApiStatus.js';

type ZoneStatus = ApiStatus['zones'][string];

const formatSeconds = (durationMs: number): string => `${Math.round(durationMs / 1000)} s`;

const checks: readonly ((zone: ZoneStatus, nowMs: number, newestVersion: number) => string[])[] = [
  (zone) => (zone.lead ? [] : ['no lead: no new jobs and no keyed requests']),
  ({ registeredWorkers, heldWorkers }) =>
    heldWorkers < registeredWorkers
      ? [`${registeredWorkers - heldWorkers} workers without a holder`]
      : [],
  ({ settingsVersion }, _nowMs, newestVersion) =>
    settingsVersion < newestVersion
      ? [`settings ${settingsVersion} are older than ${newestVersion}`]
      : [],
  ({ keysRefusedForMs }) =>
    keysRefusedForMs > 0
      ? [`keyed requests are refused for another ${formatSeconds(keysRefusedForMs)}`]
      : [],
  ({ unplacedGuarantees }, nowMs) =>
    unplacedGuarantees.map(
      ({ workspace, shape, sinceWall }) =>
        `guarantee ${shape} of ${workspace} has no place for ${formatSeconds(nowMs - sinceWall)}`,
    ),
  ({ peers }) =>
    peers
      .filter(({ linked }) => !linked)
      .map(({ node, heardMsAgo }) => `${node} not heard for ${formatSeconds(heardMsAgo)}`),
];

/** Lists what is wrong in each zone, with its age where it is known. */
export const listZoneProblems = ({ zones }: ApiStatus, nowMs: number): string[] => {
  const newestVersion = Math.max(
    ...Object.values(zones).map(({ settingsVersion }) => settingsVersion),
  );
  return Object.entries(zones).flatMap(([name, zone]) =>
    checks.flatMap((check) => check(zone, nowMs, newestVersion)).map((text) => `${name}: ${text}`),
  );
};
