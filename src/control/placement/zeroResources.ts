import type { Resources } from '../Resources.js';

/** No room at all. */
export const zeroResources: Readonly<Resources> = { cpu: 0, memMb: 0, gpu: 0 };
