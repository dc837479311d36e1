import type { Effect } from '../Effect.js';
import type { NodeId } from '../NodeId.js';
import type { State } from '../State.js';
import { copyKey } from './copyKey.js';
import { splitByBytes } from './splitByBytes.js';

/** Sends all keys and jobs to one scheduler of the zone, in chunks. Cost: O(keys + jobs). */
export const sendFullCopy = (state: State, to: NodeId): Effect[] => {
  const keyChunks = splitByBytes([...state.routing.keys.values()].map(copyKey));
  const jobChunks = splitByBytes([...state.jobs.jobs.values()]);
  const contents = [
    ...keyChunks.map((keys) => ({ keys, freedKeys: [], jobs: [] })),
    ...jobChunks.map((jobs) => ({ keys: [], freedKeys: [], jobs })),
  ];
  return contents.map((content, index): Effect => {
    state.replication.sequence += 1;
    const { sequence } = state.replication;
    const complete = index === contents.length - 1;
    return {
      type: 'send',
      to,
      message: { type: 'replicate', sequence, complete, ...content },
    };
  });
};
