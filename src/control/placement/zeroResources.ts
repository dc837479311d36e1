import type { Resources } from '../Resources.js';

/** An empty amount of every resource. */
export const zeroResources: Readonly<Resources> = { cpu: 0, memMb: 0, gpu: 0 };
