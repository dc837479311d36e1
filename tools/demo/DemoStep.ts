import type { DemoContext } from './DemoContext.js';

/** One step of the demo; throws when what it promises was not seen. */
export interface DemoStep {
  title: string;
  run: (context: DemoContext) => Promise<void>;
}
