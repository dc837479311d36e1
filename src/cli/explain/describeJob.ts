import type { JobState } from '../../core/jobs/JobState.js';
import type { ApiJob } from '../jobs/ApiJob.js';
import { formatCell } from '../output/formatCell.js';
import { formatTimestamp } from '../output/formatTimestamp.js';
import { jobStateDescriptions } from './jobStateDescriptions.js';

const countStates = (parts: NonNullable<ApiJob['parts']>): string => {
  const counts = new Map<string, number>();
  parts.forEach(({ state }) => counts.set(state, (counts.get(state) ?? 0) + 1));
  return [...counts].map(([state, count]) => `${count} ${state}`).join(', ');
};

/** Describes in sentences what a job is doing and why, using only data of the control API. */
export const describeJob = (job: ApiJob): string => {
  const stateDescription = jobStateDescriptions[job.state as JobState] as string | undefined;
  const lines = [`Job ${job.id} is ${job.state}. ${stateDescription ?? ''}`.trim()];
  const schedulerText = job.explanation ?? job.reason;
  if (typeof schedulerText === 'string') lines.push(`From the scheduler: ${schedulerText}`);
  if (job.spec) {
    const { tasks, acceleratorsPerTask, adjacency } = job.spec;
    lines.push(
      `It needs ${tasks} x ${acceleratorsPerTask} accelerators inside one ${adjacency}${
        typeof job.zone !== 'string' ? '' : ` of zone ${job.zone}`
      }.`,
    );
  }
  if (typeof job.attempt === 'number') lines.push(`Gang starts so far: ${job.attempt}.`);
  if (job.parts && job.parts.length > 0) lines.push(`Parts: ${countStates(job.parts)}.`);
  lines.push(
    `Submitted ${formatTimestamp(job.submittedWall)}, started ${formatTimestamp(job.startedWall)}, ended ${formatTimestamp(job.endedWall)}.`,
  );
  return lines.map(formatCell).join('\n');
};
