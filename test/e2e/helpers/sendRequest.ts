import { callApi } from '../../../tools/cluster/callApi.js';
import type { Cluster } from '../../../tools/cluster/Cluster.js';
import type { SentRequest } from './SentRequest.js';

interface RequestOptions {
  port: number;
  path: string;
  method?: 'GET' | 'POST';
  workMs?: number;
  timeoutMs?: number;
  key?: string;
  responseBytes?: number;
}

interface ResponseBody {
  path?: string;
  outcome?: 'not-run' | 'unknown';
  code?: string;
}

/** Sends a short request to workspace `labels` and returns it with its response. */
export const sendRequest = async (
  cluster: Cluster,
  {
    port,
    path,
    method = 'GET',
    workMs = 20,
    timeoutMs = 15_000,
    key,
    responseBytes,
  }: RequestOptions,
): Promise<SentRequest> => {
  const sentAt = performance.now();
  const sent = { method, path, key: key ?? null, port, sentWall: Date.now() };
  const noResponse = { status: null, outcome: null, code: null, servedPath: null };
  try {
    const { status, data } = await callApi(port, method, `/w/labels${path}`, {
      token: cluster.rootToken,
      headers: {
        'x-work-ms': String(workMs),
        'siskin-timeout-ms': String(timeoutMs),
        ...(key === undefined ? {} : { 'idempotency-key': key }),
        ...(responseBytes === undefined ? {} : { 'x-body-bytes': String(responseBytes) }),
      },
    });
    const { path: servedPath = null, outcome = null, code = null } = data as ResponseBody;
    return { ...sent, status, outcome, code, servedPath, durationMs: performance.now() - sentAt };
  } catch {
    return { ...sent, ...noResponse, durationMs: performance.now() - sentAt };
  }
};
