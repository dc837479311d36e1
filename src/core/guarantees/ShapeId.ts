/** Identifies a guaranteed shape. */
export interface ShapeId {
  workspace: string;
  /** Index of the shape in the workspace's `guarantees` setting. */
  shape: number;
}
