import type { ShownStatus } from './ShownStatus.js';

type ZoneStatus = ShownStatus['zones'][string];

const formatSeconds = (ms: number): string => `${Math.round(ms / 1000)} s`;

const checks: readonly ((zone: ZoneStatus, wall: number, newest: number) => string[])[] = [
  (zone) => (zone.lead ? [] : ['no lead: no new jobs and no keyed requests']),
  ({ registeredWorkers, heldWorkers }) =>
    heldWorkers < registeredWorkers
      ? [`${registeredWorkers - heldWorkers} workers without a holder`]
      : [],
  ({ settingsVersion }, _wall, newest) =>
    settingsVersion < newest ? [`settings ${settingsVersion} are older than ${newest}`] : [],
  ({ keysRefusedForMs }) =>
    keysRefusedForMs > 0
      ? [`keyed requests are refused for another ${formatSeconds(keysRefusedForMs)}`]
      : [],
  ({ unplacedGuarantees }, wall) =>
    unplacedGuarantees.map(
      ({ workspace, shape, sinceWall }) =>
        `guarantee ${shape} of ${workspace} has no place for ${formatSeconds(wall - sinceWall)}`,
    ),
  ({ peers }) =>
    peers
      .filter(({ linked }) => !linked)
      .map(({ node, heardMsAgo }) => `${node} not heard for ${formatSeconds(heardMsAgo)}`),
];

/** Lists what is wrong in each zone, with its age where it is known. */
export const listProblems = ({ zones }: ShownStatus, wall: number): string[] => {
  const newest = Math.max(...Object.values(zones).map(({ settingsVersion }) => settingsVersion));
  return Object.entries(zones).flatMap(([name, zone]) =>
    checks.flatMap((check) => check(zone, wall, newest)).map((text) => `${name}: ${text}`),
  );
};
