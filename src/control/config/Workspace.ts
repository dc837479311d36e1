/** A tenant that submits jobs. */
export interface Workspace {
  name: string;
  /** API keys. */
  keys: string[];
  /** Number of accelerators guaranteed to its priority-0 jobs at all times. */
  guaranteedGpu: number;
}
