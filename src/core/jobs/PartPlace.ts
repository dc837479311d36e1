/** Worker chosen for one part. */
export interface PartPlace {
  workerId: string;
  /** Whether the part runs on capacity guaranteed to another workspace. */
  borrowed: boolean;
}
