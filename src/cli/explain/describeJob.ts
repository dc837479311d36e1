import type { JobState } from '../../core/jobs/JobState.js';
import type { ShownJob } from '../jobs/ShownJob.js';
import { formatCell } from '../output/formatCell.js';
import { formatWall } from '../output/formatWall.js';
import { jobStateTexts } from './jobStateTexts.js';

const countStates = (parts: NonNullable<ShownJob['parts']>): string => {
  const counts = new Map<string, number>();
  parts.forEach(({ state }) => counts.set(state, (counts.get(state) ?? 0) + 1));
  return [...counts].map(([state, count]) => `${count} ${state}`).join(', ');
};

/** Describes in sentences what a job is doing and why; only from what the system reports. */
export const describeJob = (job: ShownJob): string => {
  const text = jobStateTexts[job.state as JobState] as string | undefined;
  const lines = [`Job ${job.id} is ${job.state}. ${text ?? ''}`.trim()];
  const words = job.explanation ?? job.reason;
  if (typeof words === 'string') lines.push(`From the scheduler: ${words}`);
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
    `Submitted ${formatWall(job.submittedWall)}, started ${formatWall(job.startedWall)}, ended ${formatWall(job.endedWall)}.`,
  );
  return lines.map(formatCell).join('\n');
};
