import type { EffectRunners } from '../EffectRunners.js';

/** Connections of one daemon to the others. */
export interface Mesh {
  runners: Required<Pick<EffectRunners, 'send'>>;
  close: () => void;
}
