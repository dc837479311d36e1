import { callersHandlers } from './callers/callersHandlers.js';
import type { HandlerTable } from './HandlerTable.js';
import { electionHandlers } from './lead/electionHandlers.js';
import { termHandlers } from './lead/termHandlers.js';
import { progressHandlers } from './progress/progressHandlers.js';
import { settingsHandlers } from './settings/settingsHandlers.js';
import { shutdownHandlers } from './shutdown/shutdownHandlers.js';
import { streamsHandlers } from './streams/streamsHandlers.js';
import { workersHandlers } from './workers/workersHandlers.js';

/** The handler tables of all features, in the order in which they handle an event. */
export const handlerTables: readonly HandlerTable[] = [
  settingsHandlers,
  streamsHandlers,
  shutdownHandlers,
  progressHandlers,
  electionHandlers,
  workersHandlers,
  termHandlers,
  callersHandlers,
];
