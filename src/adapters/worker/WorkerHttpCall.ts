import type { Dispatcher } from 'undici';

/** One control call as HTTP. */
export interface WorkerHttpCall {
  method: Dispatcher.HttpMethod;
  path: string;
  body?: unknown;
}
