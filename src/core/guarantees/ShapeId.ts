/** A guaranteed shape: its workspace and its position in the workspace's settings. */
export interface ShapeId {
  workspace: string;
  shape: number;
}
