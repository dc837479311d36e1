/** The worker chosen for one part of a gang. */
export interface PartPlacement {
  workerId: string;
  /** Whether the part uses capacity guaranteed to another workspace. */
  borrowed: boolean;
}
