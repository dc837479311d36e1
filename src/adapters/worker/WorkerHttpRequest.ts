import type { Dispatcher } from 'undici';

/** HTTP request of a control call. */
export interface WorkerHttpRequest {
  method: Dispatcher.HttpMethod;
  path: string;
  body?: unknown;
}
