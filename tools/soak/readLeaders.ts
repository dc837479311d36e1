import { request } from 'undici';
import { decodeLogPage } from '../../platform/decodeLogPage.js';
import { decodeStreamRecord } from '../../platform/decodeStreamRecord.js';
import { topics } from '../../platform/topics.js';

/** Reads from the store which VM held each fencing token. */
export const readLeaders = async (storePort: number): Promise<Map<number, string>> => {
  const url = `http://127.0.0.1:${storePort}/-/log-read?topic=${topics.claims}&part=0&from=0`;
  const { body } = await request(url, { reset: true });
  const { records } = decodeLogPage(Buffer.from(await body.arrayBuffer()));
  const claims = records.map((record, offset) => decodeStreamRecord('claims', record, offset));
  return new Map(
    claims.flatMap((claim) => (claim.type === 'claim' ? [[claim.offset + 1, claim.vmId]] : [])),
  );
};
