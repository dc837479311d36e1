import { allWorkspaces } from './allWorkspaces.js';
import { buildInvoiceJobs } from './buildInvoiceJobs.js';
import { listUnknownIntervals } from './listUnknownIntervals.js';
import { collectTasks } from './collectTasks.js';
import { sumRequestCounts } from './sumRequestCounts.js';
import type { Invoice } from './Invoice.js';
import { listUnknownRequests } from './listUnknownRequests.js';
import type { UsageRecord } from './UsageRecord.js';

/**
 * Builds the invoice of a workspace for a period in epoch milliseconds. Records with repeated ids
 * are dropped. Unknown intervals, open tasks and tasks without a start are listed separately and
 * never estimated. A correction belongs to the period in which it was recorded, because the invoice
 * of an earlier period may have been sent.
 */
export const buildInvoice = (
  records: readonly UsageRecord[],
  workspace: string,
  fromWall: number,
  toWall: number,
): Invoice => {
  const workspaceRecords = records.filter(
    (record) => record.workspace === workspace || record.workspace === allWorkspaces,
  );
  const byId = new Map<string, UsageRecord>();
  workspaceRecords.forEach((record) => {
    if (!byId.has(record.id)) byId.set(record.id, record);
  });
  // Sorted, because the invoice must not depend on the order in which recorders append.
  const unique = [...byId.values()].sort((a, b) => (a.id < b.id ? -1 : 1));
  const tasks = collectTasks(unique);
  const jobs = buildInvoiceJobs(tasks, fromWall, toWall);
  return {
    workspace,
    fromWall,
    toWall,
    acceleratorMs: jobs.reduce((sum, job) => sum + job.acceleratorMs, 0),
    jobs,
    requests: sumRequestCounts(unique, fromWall, toWall),
    unknownRequests: listUnknownRequests(unique, fromWall, toWall),
    unknown: listUnknownIntervals(tasks, fromWall, toWall),
    openTasks: tasks.flatMap(
      ({ jobId, taskId, accelerators, startedWall, endedWall, unknownIntervals }) =>
        startedWall !== null &&
        startedWall < toWall &&
        endedWall === null &&
        unknownIntervals.length === 0
          ? [{ jobId, taskId, accelerators, startedWall }]
          : [],
    ),
    tasksWithoutStart: tasks.flatMap(({ jobId, taskId, accelerators, startedWall, endedWall }) =>
      startedWall === null && endedWall !== null && endedWall >= fromWall
        ? [{ jobId, taskId, accelerators, endedWall }]
        : [],
    ),
    repeatedRecords: workspaceRecords.length - unique.length,
  };
};
