import type { SoakNode } from './SoakNode.js';
import { startNode } from './startNode.js';

/** Starts the daemon of an entry VM again after its process has exited; its log is kept. */
export const restartNode = (node: SoakNode): void => {
  node.formerLines.push(...node.process.lines);
  node.process = startNode(node);
};
