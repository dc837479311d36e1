/** Worker chosen for one part. */
export interface PartPlacement {
  workerId: string;
  /** Whether the part runs on capacity guaranteed to another workspace. */
  borrowed: boolean;
}
