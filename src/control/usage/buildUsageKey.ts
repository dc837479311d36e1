import type { UsageTotal } from './UsageTotal.js';

/** Names a total; the workspace comes last, because its name may hold any character. */
export const buildUsageKey = ({ workspace, day }: Pick<UsageTotal, 'workspace' | 'day'>): string =>
  `${day}/${workspace}`;
