import type { UsageTotal } from './UsageTotal.js';

/** Key of a usage total. The workspace comes last, because its name may contain any character. */
export const buildUsageKey = ({ workspace, day }: Pick<UsageTotal, 'workspace' | 'day'>): string =>
  `${day}/${workspace}`;
