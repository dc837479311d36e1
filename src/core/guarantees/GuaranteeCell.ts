/** Accelerators of one worker that belong to one guaranteed shape. */
export interface GuaranteeCell {
  workspace: string;
  /** Position of the shape in the workspace's settings. */
  shape: number;
  workerId: string;
  accelerators: number;
}
