import type { LogState } from './LogState.js';

/** Creates the state of an empty log service. */
export const createLogState = (options: {
  retentionMs: number;
  appendsPerSecond: number;
}): LogState => ({
  ...options,
  tokens: options.appendsPerSecond,
  tokensUpdatedAt: 0,
  streams: new Map(),
  polls: new Map(),
  faults: { outage: false, delayMs: 0, loseAppendAnswers: 0 },
});
