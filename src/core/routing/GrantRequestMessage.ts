/** A gateway asks a scheduler for a worker for one attempt. */
export interface GrantRequestMessage {
  type: 'grantRequest';
  requestId: string;
  attempt: number;
  workspace: string;
  /** Class of the request, from `Siskin-Class` or the first path segment. */
  requestClass: string;
  idempotent: boolean;
  idempotencyKey?: string;
  /** Time left until the caller's deadline, in milliseconds. */
  timeoutMs: number;
  /** Workers on which earlier attempts failed. */
  avoid: string[];
}
