import { applyHandler } from '../shared/applyHandler.js';
import type { HttpEffect } from '../shared/HttpEffect.js';
import type { Timed } from '../shared/Timed.js';
import { logHandlers } from './logHandlers.js';
import type { LogServiceEvent } from './LogServiceEvent.js';
import type { LogState } from './LogState.js';

/** Handles one event of the log service. */
export const reduceLog = (state: LogState, event: Timed<LogServiceEvent>): HttpEffect[] => {
  const effects = applyHandler(logHandlers, state, event);
  const due = [...state.polls.values()].map((poll) => poll.dueAt);
  return [...effects, { type: 'wake', at: due.length > 0 ? Math.min(...due) : null }];
};
