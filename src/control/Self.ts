/** Who this daemon is. */
export interface Self {
  vmId: string;
  zone: string;
  /** Differs for each life of the process. */
  incarnation: string;
}
