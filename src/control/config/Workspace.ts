/** An organisation that submits jobs. */
export interface Workspace {
  name: string;
  keys: string[];
  /** Accelerators that belong to its priority-0 jobs at all times. */
  guaranteedGpu: number;
}
