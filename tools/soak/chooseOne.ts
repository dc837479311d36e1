import type { Soak } from './Soak.js';

/** Chooses one of several items. */
export const chooseOne = <T>({ random }: Soak, items: readonly T[]): T =>
  items[Math.floor(random() * items.length)]!;
