/** A short request that is being served. */
export interface ShortRequest {
  method: string;
  path: string;
  /** Header `siskin-attempt`, or null without one. */
  attemptId: string | null;
  /** Header `siskin-request`, or null without one. */
  siskinRequest: string | null;
  requestBodyBytes: number;
  answerBytes: number;
  status: number;
  phase: 'working' | 'answering';
  /** Work left before the answer, in milliseconds at speed 1. */
  remainingMs: number;
  /** Whether the caller has disconnected; the work still runs to its end. */
  callerGone: boolean;
}
