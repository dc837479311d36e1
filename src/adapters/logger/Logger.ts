import type { EffectRunners } from '../EffectRunners.js';
import type { LogLevel } from './LogLevel.js';

/** Writes JSON lines; adapters use `write`, the loop uses the runner. */
export interface Logger {
  write: (level: LogLevel, code: string, fields?: Record<string, unknown>) => void;
  runners: Required<Pick<EffectRunners, 'log'>>;
}
