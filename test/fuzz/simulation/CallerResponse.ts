import type { Refusal } from '../../../src/core/Refusal.js';

/** What a caller saw at the end of its request. */
export type CallerResponse =
  | {
      type: 'answer';
      at: number;
      status: number;
      servedRequestId: string | null;
      complete: boolean;
    }
  | { type: 'refusal'; at: number; refusal: Refusal }
  /** `byGateway`: the daemon broke the connection on purpose; otherwise it died. */
  | { type: 'reset'; at: number; byGateway: boolean };
