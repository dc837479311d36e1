import type { Cluster } from '../cluster/Cluster.js';

/** State that the steps of the demo share. */
export interface DemoContext {
  cluster: Cluster;
  /** Start of the demo in epoch milliseconds. */
  startedWall: number;
  /** HTTP port of a gateway that no step kills. */
  httpPort: number;
  /** Job ids by the name that the demo gives to each job. */
  jobs: Record<string, string>;
  print: (text: string) => void;
}
