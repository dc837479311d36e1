import { callApi } from './callApi.js';
import type { Cluster } from './Cluster.js';

/** Proposes a subtree as root through the first VM; the answer tells whether it was accepted. */
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
