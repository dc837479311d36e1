import { reduce } from '../../../src/core/reduce.js';
import type { Effect } from '../../../src/core/Effect.js';
import type { Event } from '../../../src/core/Event.js';
import type { State } from '../../../src/core/State.js';
import type { Mutation } from './Mutation.js';

type InputChange = (state: State, event: Event) => Event;

/** Changes the state or the event before `reduce` processes them. */
const changeInput =
  (change: InputChange): typeof reduce =>
  (state, event) =>
    reduce(state, change(state, event));

const buildCurrentAttemptId = (state: State, requestId: string): string =>
  `${requestId}.${state.requests.exchanges.get(requestId)?.attempt ?? 0}`;

const ignoreAttemptId: InputChange = (state, event) =>
  'attemptId' in event && event.type.startsWith('attempt')
    ? { ...event, attemptId: buildCurrentAttemptId(state, event.requestId) }
    : event;

const keepLapsedLeases: InputChange = (state, event) => {
  state.ownership.leases.forEach((lease) => {
    if (lease.status === 'held') lease.renewalSentAt = Infinity;
  });
  return event;
};

const claimAnyWorker: InputChange = (_state, event) =>
  event.type === 'leaseAnswered'
    ? {
        ...event,
        report: {
          ...event.report,
          lastRenewal: { ...event.report.lastRenewal, released: true },
        },
      }
    : event;

// A report that names this process as last holder counts as a released lease.
const trustOwnName: InputChange = (state, event) => {
  if (event.type !== 'leaseAnswered') return event;
  const { lastRenewal } = event.report;
  const own = lastRenewal.holder === `${state.self.vmId}/${state.self.incarnation}`;
  const report = { ...event.report, lastRenewal: { ...lastRenewal, released: own } };
  return own ? { ...event, report } : event;
};

// The report of a worker that knows no holder, as after a restart, shows a renewal older than any
// lease.
const ignoreRestart: InputChange = (_state, event) => {
  if (event.type !== 'leaseAnswered' || event.report.lastRenewal.holder !== null) return event;
  const lastRenewal = { holder: null, ageMs: 1_000_000, released: false };
  return { ...event, report: { ...event.report, lastRenewal } };
};

const treatAsUnsent: InputChange = (_state, event) =>
  event.type === 'attemptFailed' && event.phase === 'sent' ? { ...event, phase: 'notSent' } : event;

const treatAsIdempotent: InputChange = (state, event) => {
  state.requests.exchanges.forEach((exchange) => {
    exchange.idempotent = true;
  });
  return event;
};

const forgetEarlierAttempt: InputChange = (state, event) => {
  state.requests.exchanges.forEach((exchange) => {
    exchange.mayHaveRun = false;
  });
  return event;
};

// Every copy counts as acknowledged, and a received one contains no keys.
const skipReplication: InputChange = (state, event) => {
  state.membership.peers.forEach((peer) =>
    state.replication.acknowledgedByPeer.set(peer.node, Infinity),
  );
  return event.type === 'replicate' ? { ...event, keys: [] } : event;
};

const ignoreKeyMemoryGap: InputChange = (state, event) => {
  state.routing.keysRefusedUntil = 0;
  return event;
};

const forgetKeys: InputChange = (state, event) => {
  if (event.type === 'grantRequest') state.routing.keys.clear();
  return event;
};

const ignoreLeaving: InputChange = (_state, event) => {
  if (event.type === 'vmsListed') return { ...event, vms: [] };
  return event.type === 'leaseAnswered'
    ? { ...event, report: { ...event.report, leaving: false } }
    : event;
};

const useOldGrants: InputChange = (_state, event) =>
  event.type === 'grant' ? { ...event, startWithinMs: Infinity } : event;

const exitWithoutDrain: typeof reduce = (state, event) => {
  if (event.type !== 'shutdownRequested') return reduce(state, event);
  const exit: Effect = { type: 'exit' };
  return [...reduce(state, event), exit];
};

// The settings in force count as older than any tree that arrives.
const applyOlderTree: InputChange = (state, event) => {
  const { inForce } = state.settings;
  if (event.type === 'settingsTree' && inForce) {
    state.settings.inForce = { ...inForce, version: -1 };
  }
  return event;
};

// The projection's versions are those that the first record of a page is checked against, so only
// pages of one record are changed.
const acceptStaleVersion: InputChange = (state, event) => {
  if (event.type !== 'logRead') return event;
  const versions = state.settings.projection.snapshot.subtreeVersions as Record<string, number>;
  const records = event.records.map((record) => {
    const data = record.data as { path: string };
    return { ...record, data: { ...data, expectedVersion: versions[data.path] ?? -1 } };
  });
  return records.length === 1 ? { ...event, records } : event;
};

const treatLostAppendAsNotSent: InputChange = (_state, event) =>
  event.type === 'logAppendFailed' ? { ...event, outcome: 'notSent' } : event;

const ignoreFailedRead: InputChange = (_state, event) =>
  event.type === 'logReadFailed' ? { ...event, readId: 'none' } : event;

/** Changes the effects that `reduce` returned. */
const changeEffects =
  (change: (state: State, effects: Effect[]) => Effect[]): typeof reduce =>
  (state, event) =>
    change(state, reduce(state, event));

// Tasks are never stopped, and every task of a worker is renewed.
const renewBrokenGangs = changeEffects((state, effects) =>
  effects
    .filter((effect) => effect.type !== 'callWorker' || effect.call.kind !== 'stopTask')
    .map((effect) => {
      if (effect.type !== 'callWorker' || effect.call.kind !== 'lease') return effect;
      const renewTasks = [...(state.jobs.tasksByWorker.get(effect.workerId) ?? [])];
      return { ...effect, call: { ...effect.call, renewTasks } };
    }),
);

const keepTaskLeases: InputChange = (state, event) => {
  state.timing.taskLeaseMs = 60_000;
  return event;
};

// A failed append of usage records counts as acknowledged.
const dropFailedAppend: InputChange = (_state, event) =>
  event.type === 'logAppendFailed' && event.stream === 'usage'
    ? { ...event, type: 'logAppended', firstOffset: 0 }
    : event;

// Without checkpoints and stops, lent capacity is never returned.
const keepLentCapacity = changeEffects((_state, effects) =>
  effects.filter(
    (effect) =>
      effect.type !== 'callWorker' || !['checkpointTask', 'stopTask'].includes(effect.call.kind),
  ),
);

/** Mutations by the name of the rule that each one disables. */
export const mutations: Readonly<Record<string, Mutation>> = {
  'attempt ids match': { promise: 'answer', runs: 300, reduce: changeInput(ignoreAttemptId) },
  'lapsed lease is dropped': {
    promise: 'holder',
    runs: 100,
    reduce: changeInput(keepLapsedLeases),
  },
  'renewed worker is not claimed': {
    promise: 'holder',
    runs: 100,
    reduce: changeInput(claimAnyWorker),
  },
  'own name as last holder does not free a worker': {
    promise: 'holder',
    runs: 300,
    reduce: changeInput(trustOwnName),
  },
  'restarted worker is not claimed before a lease has passed': {
    promise: 'holder',
    runs: 300,
    reduce: changeInput(ignoreRestart),
  },
  'sent attempt may have run': { promise: 'once', runs: 300, reduce: changeInput(treatAsUnsent) },
  'non-idempotent request is not retried': {
    promise: 'once',
    runs: 300,
    reduce: changeInput(treatAsIdempotent),
  },
  'earlier attempt makes the outcome unknown': {
    promise: 'refusal',
    runs: 300,
    reduce: changeInput(forgetEarlierAttempt),
  },
  'key is replicated before the grant': {
    promise: 'once',
    runs: 1000,
    reduce: changeInput(skipReplication),
  },
  'lead without key memory refuses keyed requests': {
    promise: 'once',
    runs: 1000,
    reduce: changeInput(ignoreKeyMemoryGap),
  },
  'used key is refused': { promise: 'once', runs: 300, reduce: changeInput(forgetKeys) },
  'leaving worker gets no grant': {
    promise: 'leaving',
    runs: 300,
    reduce: changeInput(ignoreLeaving),
  },
  'grant received too late is returned unused': {
    promise: 'leaving',
    runs: 1000,
    reduce: changeInput(useOldGrants),
  },
  'older tree is not applied': {
    promise: 'settings',
    runs: 300,
    reduce: changeInput(applyOlderTree),
  },
  'stale version is refused': {
    promise: 'settings',
    runs: 300,
    reduce: changeInput(acceptStaleVersion),
  },
  'append with a lost answer has an unknown outcome': {
    promise: 'settings',
    runs: 300,
    reduce: changeInput(treatLostAppendAsNotSent),
  },
  'failed read is retried': {
    promise: 'settings',
    runs: 300,
    reduce: changeInput(ignoreFailedRead),
  },
  'broken gang is not renewed': { promise: 'gang', runs: 300, reduce: renewBrokenGangs },
  'task ends with its lease': { promise: 'gang', runs: 300, reduce: changeInput(keepTaskLeases) },
  'lent capacity is reclaimed': { promise: 'guarantee', runs: 300, reduce: keepLentCapacity },
  'failed append is retried': {
    promise: 'record',
    runs: 300,
    reduce: changeInput(dropFailedAppend),
  },
  'shutdown waits for open requests': { promise: 'shutdown', runs: 100, reduce: exitWithoutDrain },
};
