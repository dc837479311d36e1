/** Identity of this daemon. */
export interface Self {
  vmId: string;
  zone: string;
  /** CPU capacity of this VM in full cores, such as 0.5 for half a core. */
  cores: number;
  /** Unique to each start of the process. */
  incarnation: string;
}
