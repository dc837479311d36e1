import { callApi } from './callApi.js';
import type { Office } from './Office.js';

/** Proposes a subtree as root through the first VM; the answer tells whether it was accepted. */
export const proposeSubtree = (
  office: Office,
  path: string,
  subtree: unknown,
  expectedVersion: number,
): Promise<{ status: number; data: unknown }> =>
  callApi(office.vms[0]!.httpPort, 'PUT', `/v1/settings/${path}`, {
    token: office.rootToken,
    body: subtree,
    headers: { 'if-match': `"${expectedVersion}"`, 'siskin-author': 'operator' },
  });
