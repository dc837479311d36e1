/** A group of workers that run the same kind of tasks. */
export interface Service {
  name: string;
  /** Workers refuse what does not fit. */
  guardsCapacity: boolean;
}
