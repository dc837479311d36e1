import { callApi } from '../../../tools/cluster/callApi.js';
import type { Cluster } from '../../../tools/cluster/Cluster.js';

interface GangOptions {
  zone: string;
  tasks: number;
  runMs: number;
  acceleratorsPerTask?: number;
  preemptible?: boolean;
}

/** Submits a gang job to workspace `labels`; returns the job id. */
export const submitGang = async (
  cluster: Cluster,
  port: number,
  { runMs, ...spec }: GangOptions,
): Promise<string> => {
  const { status, data } = await callApi(port, 'POST', '/v1/workspaces/labels/jobs', {
    token: cluster.rootToken,
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
