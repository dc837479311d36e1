import type { Table } from '../output/Table.js';
import type { ApiStatus } from './ApiStatus.js';

const columns = ['zone', 'lead', 'workers', 'settings', 'queued', 'grants', 'jobs'] as const;

const formatJobs = (jobs: Record<string, number>): string =>
  Object.entries(jobs)
    .map(([state, count]) => `${count} ${state}`)
    .join(', ') || '-';

/** Builds a table with a row per zone. */
export const buildStatusTable = ({ zones }: ApiStatus): Table => ({
  columns,
  rows: Object.entries(zones).map(([name, zone]) => [
    name,
    zone.lead ? zone.vmId : '-',
    `${zone.heldWorkers}/${zone.registeredWorkers}`,
    String(zone.settingsVersion),
    String(zone.queuedRequests),
    String(zone.openGrants),
    formatJobs(zone.jobs),
  ]),
});
