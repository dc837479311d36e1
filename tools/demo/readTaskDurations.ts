import { callApi } from '../cluster/callApi.js';
import type { Cluster } from '../cluster/Cluster.js';

interface JournalLine {
  kind: string;
  taskId?: string;
  wall: number;
}

/** Reads the run time of each task in milliseconds from the journals of the workers. */
export const readTaskDurations = async (cluster: Cluster): Promise<Map<string, number>> => {
  const responses = await Promise.all(
    cluster.workers.map(({ port }) => callApi(port, 'GET', '/debug/journal')),
  );
  const lines = responses.flatMap(({ data }) => (data as { lines: JournalLine[] }).lines);
  const startedWall = new Map<string, number>();
  const durationsMs = new Map<string, number>();
  lines.forEach(({ kind, taskId = '', wall }) => {
    if (kind === 'taskStarted') startedWall.set(taskId, wall);
    if (kind === 'taskEnded') durationsMs.set(taskId, wall - (startedWall.get(taskId) ?? wall));
  });
  return durationsMs;
};
