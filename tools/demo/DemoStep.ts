import type { DemoContext } from './DemoContext.js';

/** A step of the demo; `run` throws when one of its checks fails. */
export interface DemoStep {
  title: string;
  run: (context: DemoContext) => Promise<void>;
}
