/** Identity of this daemon. */
export interface Self {
  vmId: string;
  zone: string;
  /** CPU share of this VM in cores; may be below 1. */
  cores: number;
  /** Unique to each start of the process. */
  incarnation: string;
}
