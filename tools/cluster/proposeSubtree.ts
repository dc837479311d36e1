import { callApi } from './callApi.js';
import type { Cluster } from './Cluster.js';

/** Proposes a subtree as root through the gateway of the first VM; returns the response. */
export const proposeSubtree = (
  cluster: Cluster,
  path: string,
  subtree: unknown,
  expectedVersion: number,
): Promise<{ status: number; data: unknown }> =>
  callApi(cluster.vms[0]!.httpPort, 'PUT', `/v1/settings/${path}`, {
    token: cluster.rootToken,
    body: subtree,
    headers: { 'if-match': `"${expectedVersion}"`, 'siskin-author': 'operator' },
  });
