import type { EffectRunners } from '../EffectRunners.js';

/** HTTP side of a gateway. */
export interface GatewayServer {
  runners: EffectRunners;
  close: () => void;
}
