import type { Effect } from '../Effect.js';
import type { NodeId } from '../NodeId.js';
import type { State } from '../State.js';
import { copyKey } from './copyKey.js';

// Keeps each message well below the limit of 1 MiB.
const recordsPerMessage = 200;

const splitChunks = <T>(items: T[]): T[][] =>
  Array.from({ length: Math.ceil(items.length / recordsPerMessage) }, (_, index) =>
    items.slice(index * recordsPerMessage, (index + 1) * recordsPerMessage),
  );

/** Sends everything that a newly linked scheduler of the zone must know. O(keys + jobs). */
export const sendFullCopy = (state: State, to: NodeId): Effect[] => {
  const keyChunks = splitChunks([...state.routing.keys.values()].map(copyKey));
  const jobChunks = splitChunks([...state.jobs.jobs.values()]);
  const parts = [
    ...keyChunks.map((keys) => ({ keys, freedKeys: [], jobs: [] })),
    ...jobChunks.map((jobs) => ({ keys: [], freedKeys: [], jobs })),
  ];
  const contents = parts.length > 0 ? parts : [{ keys: [], freedKeys: [], jobs: [] }];
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
