/** A read that waits for records. */
export interface LogPoll {
  stream: string;
  from: number;
  limit: number;
  dueAt: number;
}
