import { callApi } from '../../../tools/office/callApi.js';
import type { Office } from '../../../tools/office/Office.js';

interface GangOptions {
  zone: string;
  tasks: number;
  runMs: number;
  acceleratorsPerTask?: number;
  preemptible?: boolean;
}

/** Submits a gang job of workspace `labels`; returns its id. */
export const submitGang = async (
  office: Office,
  port: number,
  { runMs, ...spec }: GangOptions,
): Promise<string> => {
  const { status, data } = await callApi(port, 'POST', '/v1/workspaces/labels/jobs', {
    token: office.rootToken,
    body: {
      acceleratorsPerTask: 8,
      declaredMs: runMs,
      payload: JSON.stringify({ runMs, checkpointMs: 300 }),
      ...spec,
    },
  });
  if (status !== 202) throw new Error(`job refused: ${status} ${JSON.stringify(data)}`);
  return (data as { id: string }).id;
};
