import type { QueueSettings } from './QueueSettings.js';

/** A queue of jobs, selected by the host and path of a request. */
export interface Queue extends QueueSettings {
  name: string;
  host: string;
  /** Path prefix; the longest match wins. */
  pathPrefix: string;
  /** Service whose workers run the jobs. */
  service: string;
  /** Whether requests need no API key. */
  isPublic: boolean;
}
