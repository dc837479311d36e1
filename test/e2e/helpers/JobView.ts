/** Fields of a job that the tests read. */
export interface JobView {
  id: string;
  state: string;
  attempt: number;
  parts: { workerId: string; taskId: string; state: string }[];
}
