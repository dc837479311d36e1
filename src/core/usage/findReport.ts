import type { UsageReport } from './UsageReport.js';
import type { UsageState } from './UsageState.js';

/** Finds the report that awaits the answer to a read. */
export const findReport = ({ reports }: UsageState, readId: string): UsageReport | undefined =>
  [...reports].find((report) => report.readId === readId);
