/** Accelerators of one worker that are set aside for one guaranteed shape. */
export interface GuaranteeCell {
  workspace: string;
  /** Index of the shape in the workspace's `guarantees` setting. */
  shape: number;
  workerId: string;
  accelerators: number;
}
