import type { RelaySide } from './RelaySide.js';

/** Lists each side with the other one. */
export const listSides = (): { side: RelaySide; other: RelaySide }[] => [
  { side: 'client', other: 'target' },
  { side: 'target', other: 'client' },
];
