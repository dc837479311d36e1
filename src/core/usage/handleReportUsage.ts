import { answerCommand } from '../commands/answerCommand.js';
import type { CommandHandler } from '../commands/CommandHandler.js';
import { readReportPage } from './readReportPage.js';

/** The recorder answers before the gateway's own command timeout, so that its reason is seen. */
const answerTimeoutShare = 0.8;
/** A report holds the records of its workspace in memory while it reads. */
const maxConcurrentReports = 4;

/** Starts the report of a workspace's usage; the answer follows when the stream has been read. */
export const handleReportUsage: CommandHandler<'reportUsage'> = (
  state,
  { from, requestId, at, command },
) => {
  if (state.usage.reports.size >= maxConcurrentReports) {
    const refusal = { reason: 'queue-full', outcome: 'not-run', retryAfterMs: 1000 } as const;
    return [
      answerCommand(from, requestId, { ok: false, refusal }),
      { type: 'countRefusal', reason: refusal.reason },
    ];
  }
  const { workspace, fromWall, toWall } = command;
  const report = {
    requester: from,
    requestId,
    workspace,
    fromWall,
    toWall,
    readId: null,
    nextReadAt: at,
    deadlineAt: at + state.timing.commandTimeoutMs * answerTimeoutShare,
    nextOffset: 0,
    oldestOffset: 0,
    records: [],
  };
  state.usage.reports.add(report);
  return readReportPage(state, report);
};
