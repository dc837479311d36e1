import type { Cluster } from '../cluster/Cluster.js';

/** What the steps of the demo share. */
export interface DemoContext {
  cluster: Cluster;
  startedWall: number;
  /** HTTP port of a gateway that stays alive throughout. */
  httpPort: number;
  /** Ids of jobs by the name that the demo gives them. */
  jobs: Record<string, string>;
  print: (text: string) => void;
}
