import { reduce } from '../../../src/core/reduce.js';
import type { Effect } from '../../../src/core/Effect.js';
import type { Event } from '../../../src/core/Event.js';
import type { State } from '../../../src/core/State.js';
import type { Mutation } from './Mutation.js';

type Change = (state: State, event: Event) => Event;

/** Changes the state or the event before `reduce` sees them. */
const before =
  (change: Change): typeof reduce =>
  (state, event) =>
    reduce(state, change(state, event));

const asPresentAttempt = (state: State, requestId: string): string =>
  `${requestId}.${state.requests.exchanges.get(requestId)?.attempt ?? 0}`;

const ignoreAttemptId: Change = (state, event) =>
  'attemptId' in event && event.type.startsWith('attempt')
    ? { ...event, attemptId: asPresentAttempt(state, event.requestId) }
    : event;

const keepLapsedLeases: Change = (state, event) => {
  state.ownership.leases.forEach((lease) => {
    if (lease.status === 'held') lease.renewalSentAt = Infinity;
  });
  return event;
};

const claimAnyWorker: Change = (_state, event) =>
  event.type === 'leaseAnswered'
    ? {
        ...event,
        report: {
          ...event.report,
          lastRenewal: { ...event.report.lastRenewal, released: true },
        },
      }
    : event;

const trustOwnName: Change = (state, event) => {
  if (event.type !== 'leaseAnswered') return event;
  const { lastRenewal } = event.report;
  const own = lastRenewal.holder === `${state.self.vmId}/${state.self.incarnation}`;
  const report = { ...event.report, lastRenewal: { ...lastRenewal, released: own } };
  return own ? { ...event, report } : event;
};

const forgetRestart: Change = (_state, event) => {
  if (event.type !== 'leaseAnswered' || event.report.lastRenewal.holder !== null) return event;
  const lastRenewal = { holder: null, ageMs: 1_000_000, released: false };
  return { ...event, report: { ...event.report, lastRenewal } };
};

const treatAsUnsent: Change = (_state, event) =>
  event.type === 'attemptFailed' && event.phase === 'sent' ? { ...event, phase: 'notSent' } : event;

const treatAsIdempotent: Change = (state, event) => {
  state.requests.exchanges.forEach((exchange) => {
    exchange.idempotent = true;
  });
  return event;
};

const forgetEarlierAttempt: Change = (state, event) => {
  state.requests.exchanges.forEach((exchange) => {
    exchange.mayHaveRun = false;
  });
  return event;
};

const skipCopies: Change = (state, event) => {
  state.membership.peers.forEach((peer) =>
    state.replication.acknowledgedByPeer.set(peer.node, Infinity),
  );
  return event.type === 'replicate' ? { ...event, keys: [] } : event;
};

const trustEmptyMemory: Change = (state, event) => {
  state.routing.keysRefusedUntil = 0;
  return event;
};

const forgetKeys: Change = (state, event) => {
  if (event.type === 'grantRequest') state.routing.keys.clear();
  return event;
};

const ignoreLeaving: Change = (_state, event) => {
  if (event.type === 'vmsListed') return { ...event, vms: [] };
  return event.type === 'leaseAnswered'
    ? { ...event, report: { ...event.report, leaving: false } }
    : event;
};

const useOldGrants: Change = (_state, event) =>
  event.type === 'grant' ? { ...event, startWithinMs: Infinity } : event;

const skipDrain: typeof reduce = (state, event) => {
  if (event.type !== 'shutdownRequested') return reduce(state, event);
  const exit: Effect = { type: 'exit' };
  return [...reduce(state, event), exit];
};

const applyOlderTree: Change = (state, event) => {
  const { inForce } = state.settings;
  if (event.type === 'settingsTree' && inForce) {
    state.settings.inForce = { ...inForce, version: -1 };
  }
  return event;
};

const acceptStaleVersion: Change = (state, event) => {
  if (event.type !== 'logRead') return event;
  const versions = state.settings.projection.snapshot.subtreeVersions as Record<string, number>;
  const records = event.records.map((record) => {
    const data = record.data as { path: string };
    return { ...record, data: { ...data, expectedVersion: versions[data.path] ?? -1 } };
  });
  return records.length === 1 ? { ...event, records } : event;
};

const denyLostAppend: Change = (_state, event) =>
  event.type === 'logAppendFailed' ? { ...event, outcome: 'notSent' } : event;

const keepFailedRead: Change = (_state, event) =>
  event.type === 'logReadFailed' ? { ...event, readId: 'none' } : event;

/** Changes the effects after `reduce` returned them. */
const after =
  (change: (state: State, effects: Effect[]) => Effect[]): typeof reduce =>
  (state, event) =>
    change(state, reduce(state, event));

const renewBrokenGangs = after((state, effects) =>
  effects
    .filter((effect) => effect.type !== 'callWorker' || effect.call.kind !== 'stopTask')
    .map((effect) => {
      if (effect.type !== 'callWorker' || effect.call.kind !== 'lease') return effect;
      const renewTasks = [...(state.jobs.tasksByWorker.get(effect.workerId) ?? [])];
      return { ...effect, call: { ...effect.call, renewTasks } };
    }),
);

const keepTaskLeases: Change = (state, event) => {
  state.timing.taskLeaseMs = 60_000;
  return event;
};

const dropUsage: Change = (_state, event) =>
  event.type === 'logAppendFailed' && event.stream === 'usage'
    ? { ...event, type: 'logAppended', firstOffset: 0 }
    : event;

// Without checkpoints and stops, lent capacity is never given back.
const keepLentCells = after((_state, effects) =>
  effects.filter(
    (effect) =>
      effect.type !== 'callWorker' || !['checkpointTask', 'stopTask'].includes(effect.call.kind),
  ),
);

/** Mutations by the name of the rule that each takes out. */
export const mutations: Readonly<Record<string, Mutation>> = {
  'attempt ids match': { promise: 'answer', runs: 300, reduce: before(ignoreAttemptId) },
  'lapsed lease is dropped': { promise: 'holder', runs: 100, reduce: before(keepLapsedLeases) },
  'renewed worker is not claimed': {
    promise: 'holder',
    runs: 100,
    reduce: before(claimAnyWorker),
  },
  'own name is no claim': { promise: 'holder', runs: 300, reduce: before(trustOwnName) },
  'restarted worker waits a lease': { promise: 'holder', runs: 300, reduce: before(forgetRestart) },
  'sent attempt is not asked again': { promise: 'once', runs: 300, reduce: before(treatAsUnsent) },
  'non-idempotent is not retried': {
    promise: 'once',
    runs: 300,
    reduce: before(treatAsIdempotent),
  },
  'earlier attempt makes the outcome unknown': {
    promise: 'refusal',
    runs: 300,
    reduce: before(forgetEarlierAttempt),
  },
  'key is copied before the grant': { promise: 'once', runs: 1000, reduce: before(skipCopies) },
  'lost key memory refuses': { promise: 'once', runs: 1000, reduce: before(trustEmptyMemory) },
  'used key is refused': { promise: 'once', runs: 300, reduce: before(forgetKeys) },
  'leaving worker gets no grant': { promise: 'leaving', runs: 300, reduce: before(ignoreLeaving) },
  'old grant goes back': { promise: 'leaving', runs: 1000, reduce: before(useOldGrants) },
  'older tree is not applied': { promise: 'settings', runs: 300, reduce: before(applyOlderTree) },
  'stale version is refused': {
    promise: 'settings',
    runs: 300,
    reduce: before(acceptStaleVersion),
  },
  'lost append answer is unknown': {
    promise: 'settings',
    runs: 300,
    reduce: before(denyLostAppend),
  },
  'failed read is repeated': { promise: 'settings', runs: 300, reduce: before(keepFailedRead) },
  'broken gang is not renewed': { promise: 'gang', runs: 300, reduce: renewBrokenGangs },
  'task lease ends by itself': { promise: 'gang', runs: 300, reduce: before(keepTaskLeases) },
  'lent cells are reclaimed': { promise: 'guarantee', runs: 300, reduce: keepLentCells },
  'failed append is repeated': { promise: 'record', runs: 300, reduce: before(dropUsage) },
  'shutdown waits for open requests': { promise: 'shutdown', runs: 100, reduce: skipDrain },
};
