import type { EffectRunners } from '../EffectRunners.js';

/** HTTP server of a gateway. */
export interface GatewayServer {
  runners: EffectRunners;
  /** Closes all connections without waiting for their responses. */
  close: () => void;
}
