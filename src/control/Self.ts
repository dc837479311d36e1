/** Who this daemon is. */
export interface Self {
  vmId: string;
  zone: string;
  /** Share of a usual core that this VM has. */
  cores: number;
  /** Differs for each life of the process. */
  incarnation: string;
}
