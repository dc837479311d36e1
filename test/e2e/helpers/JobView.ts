/** What the tests read of a job. */
export interface JobView {
  id: string;
  state: string;
  attempt: number;
  parts: { workerId: string; taskId: string; state: string }[];
}
