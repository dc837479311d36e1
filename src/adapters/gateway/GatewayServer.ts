import type { EffectRunners } from '../EffectRunners.js';

/** HTTP server of a gateway. */
export interface GatewayServer {
  runners: EffectRunners;
  close: () => void;
}
