import type { PublishedConfig } from './PublishedConfig.js';

/** A published configuration in its stream. */
export interface ConfigRecord {
  type: 'config';
  config: PublishedConfig;
}
