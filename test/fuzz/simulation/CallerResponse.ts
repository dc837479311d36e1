import type { Refusal } from '../../../src/core/Refusal.js';

/** An answer, refusal or reset that a caller received. */
export type CallerResponse =
  | {
      type: 'answer';
      at: number;
      status: number;
      /** Request whose answer the caller got; null if the attempt had no answer. */
      servedRequestId: string | null;
      /** Whether the caller got the whole answer. */
      complete: boolean;
    }
  | { type: 'refusal'; at: number; refusal: Refusal }
  /** `byGateway`: the daemon reset the connection deliberately; otherwise its process ended. */
  | { type: 'reset'; at: number; byGateway: boolean };
