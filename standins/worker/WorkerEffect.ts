import type { HttpEffect } from '../shared/HttpEffect.js';

/** Effects of a backend server. */
export type WorkerEffect =
  | HttpEffect
  | {
      type: 'serveRequest';
      requestId: string;
      status: number;
      /** Answer; padded to `answerBytes` if it is shorter. */
      echo: Record<string, unknown>;
      /** Text of which the padding consists. */
      pad: string;
      answerBytes: number;
      truncate: boolean;
    }
  /** Closes the listener and all connections for a time. */
  | { type: 'refuseConnections'; forMs: number };
