import type { JobScan } from './JobScan.js';
import type { RecoveryState } from './RecoveryState.js';

/** Finds the scan that awaits the answer to a read. */
export const findScan = ({ scans }: RecoveryState, readId: string): JobScan | undefined =>
  [...scans.values()].find((scan) => scan.readId === readId);
