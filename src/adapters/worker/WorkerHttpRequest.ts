import type { Dispatcher } from 'undici';

/** One control call as HTTP. */
export interface WorkerHttpRequest {
  method: Dispatcher.HttpMethod;
  path: string;
  body?: unknown;
}
