import type { PublishedConfig } from './PublishedConfig.js';

/** A record of the `config` stream. */
export interface ConfigRecord {
  type: 'config';
  config: PublishedConfig;
}
