import fs from 'node:fs';

interface ProfileNode {
  id: number;
  callFrame: { functionName: string; url: string; lineNumber: number };
  children?: number[];
}

interface Profile {
  nodes: ProfileNode[];
  samples: number[];
  timeDeltas: number[];
}

interface FunctionShare {
  name: string;
  /** Share of the busy time in the function itself. */
  self: number;
  /** Share of the busy time in the function and everything that it calls. */
  total: number;
}

const idleNames = new Set(['(idle)', '(program)', '(root)']);

const formatName = ({ callFrame }: ProfileNode): string =>
  `${callFrame.functionName || '(anonymous)'}:${callFrame.lineNumber + 1}`;

const sumSelfTimes = ({ samples, timeDeltas }: Profile): Map<number, number> => {
  const selfTimes = new Map<number, number>();
  samples.forEach((id, index) => {
    selfTimes.set(id, (selfTimes.get(id) ?? 0) + (timeDeltas[index] ?? 0));
  });
  return selfTimes;
};

/** Reads a CPU profile of Node.js: the share of each function, largest total first. */
export const readProfile = (file: string): FunctionShare[] => {
  const profile = JSON.parse(fs.readFileSync(file, 'utf8')) as Profile;
  const nodes = new Map(profile.nodes.map((node) => [node.id, node]));
  const selfTimes = sumSelfTimes(profile);
  const shares = new Map<string, FunctionShare>();
  let busyTime = 0;
  // Adds the time of a subtree to every function on its path, once per function.
  const visit = (node: ProfileNode, path: readonly string[]): number => {
    const name = formatName(node);
    const share = shares.get(name) ?? { name, self: 0, total: 0 };
    shares.set(name, share);
    const selfTime = idleNames.has(node.callFrame.functionName) ? 0 : (selfTimes.get(node.id) ?? 0);
    busyTime += selfTime;
    share.self += selfTime;
    const childTime = (node.children ?? [])
      .map((id) => visit(nodes.get(id)!, [...path, name]))
      .reduce((sum, time) => sum + time, 0);
    if (!path.includes(name)) share.total += selfTime + childTime;
    return selfTime + childTime;
  };
  visit(profile.nodes[0]!, []);
  return [...shares.values()]
    .map(({ name, self, total }) => ({ name, self: self / busyTime, total: total / busyTime }))
    .sort((a, b) => b.total - a.total);
};
