import { countBy } from './countBy.js';
import { listRecords } from './listRecords.js';
import type { StoreContent } from './StoreContent.js';

interface StatusReport {
  /** ID of the VM that leads, or empty. */
  lead: string;
  /** Fencing token of the leader, or 0. */
  token: number;
  resigned: boolean;
  /** Null if no configuration is stored. */
  configVersion: number | null;
  queues: number;
  workspaces: number;
  /** Number of jobs by state. */
  jobs: Record<string, number>;
  /** Number of registered workers by state. */
  workers: Record<string, number>;
}

/** Describes the leader, the stored configuration, and the number of jobs and workers by state. */
export const describeStatus = (content: StoreContent): StatusReport => {
  const [lead] = listRecords(content.journal, 'lead');
  const [config] = listRecords(content.config, 'config');
  const states = new Map(
    listRecords(content.journal, 'status').map(({ id, state }) => [id, state] as const),
  );
  const jobs = listRecords(content.journal, 'submission').map(
    ({ submission }) => states.get(submission.id) ?? 'queued',
  );
  const workers = listRecords(content.workers, 'worker').flatMap(({ entry }) =>
    entry ? [entry.state] : [],
  );
  return {
    lead: lead?.vmId ?? '',
    token: lead?.token ?? 0,
    resigned: lead?.resigned ?? false,
    configVersion: config?.config.version ?? null,
    queues: config?.config.queues.length ?? 0,
    workspaces: config?.config.workspaces.length ?? 0,
    jobs: countBy(jobs),
    workers: countBy(workers),
  };
};
