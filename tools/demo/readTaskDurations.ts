import { callApi } from '../cluster/callApi.js';
import type { Cluster } from '../cluster/Cluster.js';

interface JournalLine {
  kind: string;
  taskId?: string;
  wall: number;
}

/** Reads how long each task really ran, in milliseconds, from the workers' own journals. */
export const readTaskDurations = async (cluster: Cluster): Promise<Map<string, number>> => {
  const answers = await Promise.all(
    cluster.workers.map(({ port }) => callApi(port, 'GET', '/debug/journal')),
  );
  const lines = answers.flatMap(({ data }) => (data as { lines: JournalLine[] }).lines);
  const startedWall = new Map<string, number>();
  const runs = new Map<string, number>();
  lines.forEach(({ kind, taskId = '', wall }) => {
    if (kind === 'taskStarted') startedWall.set(taskId, wall);
    if (kind === 'taskEnded') runs.set(taskId, wall - (startedWall.get(taskId) ?? wall));
  });
  return runs;
};
