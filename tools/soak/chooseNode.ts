import type { Soak } from './Soak.js';
import type { SoakNode } from './SoakNode.js';

/** Chooses the entry VM that takes a client's next request. */
export const chooseNode = ({ nodes, random }: Soak): SoakNode =>
  nodes[Math.floor(random() * nodes.length)]!;
