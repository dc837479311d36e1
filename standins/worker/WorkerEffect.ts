import type { HttpEffect } from '../shared/HttpEffect.js';

/** Effects of a backend server. */
export type WorkerEffect =
  | HttpEffect
  | {
      type: 'answerShortRequest';
      requestId: string;
      status: number;
      /** Body of the answer; padded to `answerBytes` if it is shorter. */
      echo: Record<string, unknown>;
      /** Text that the padding repeats. */
      pad: string;
      answerBytes: number;
      truncate: boolean;
    }
  /** Closes the listener and all connections for `forMs` milliseconds. */
  | { type: 'refuseConnections'; forMs: number };
