import type { ApiStatus } from './ApiStatus.js';

type ZoneStatus = ApiStatus['zones'][string];

const formatSeconds = (durationMs: number): string => `${Math.round(durationMs / 1000)} s`;

const checks: readonly ((zone: ZoneStatus, nowMs: number, newestVersion: number) => string[])[] = [
  (zone) => (zone.lead ? [] : ['no lead: no new jobs and no keyed requests']),
  ({ registeredWorkers, heldWorkers }) =>
    heldWorkers < registeredWorkers
      ? [`${registeredWorkers - heldWorkers} workers not held by a scheduler`]
      : [],
  ({ settingsVersion }, _nowMs, newestVersion) =>
    settingsVersion < newestVersion
      ? [`settings version ${settingsVersion} is older than ${newestVersion}`]
      : [],
  ({ keysRefusedForMs }) =>
    keysRefusedForMs > 0
      ? [`keyed requests are refused for another ${formatSeconds(keysRefusedForMs)}`]
      : [],
  ({ unplacedGuarantees }, nowMs) =>
    unplacedGuarantees.map(
      ({ workspace, shape, sinceWall }) =>
        `guarantee ${shape} of ${workspace} has been unplaced for ${formatSeconds(nowMs - sinceWall)}`,
    ),
  ({ peers }) =>
    peers
      .filter(({ linked }) => !linked)
      .map(({ node, heardMsAgo }) => `no message from ${node} for ${formatSeconds(heardMsAgo)}`),
];

/** Lists the problems of each zone, with their age where it is known. */
export const listZoneProblems = ({ zones }: ApiStatus, nowMs: number): string[] => {
  const newestVersion = Math.max(
    ...Object.values(zones).map(({ settingsVersion }) => settingsVersion),
  );
  return Object.entries(zones).flatMap(([name, zone]) =>
    checks.flatMap((check) => check(zone, nowMs, newestVersion)).map((text) => `${name}: ${text}`),
  );
};
