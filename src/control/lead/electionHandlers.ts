import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { HandlerTable } from '../HandlerTable.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { isCaughtUp } from '../streams/isCaughtUp.js';
import { beginTerm } from './beginTerm.js';
import { computeClaimDelaySteps } from './computeClaimDelaySteps.js';

// Two heartbeats of the leader and a slow answer of the store; worker leases outlast this timeout and
// a failover.
const leaderTimeoutMs = 1200;
const claimDelayStepMs = 50;
const callTimeoutMs = 900;
// Gives the VM that won the claim time to write its first record as the leader.
const lostClaimBackoffMs = 600;
const failureBackoffMs = 200;

/** Whether the leader is an earlier incarnation of this daemon, which can't lead any more. */
const isOwnFormerIncarnation = ({ leader, election, self }: State): boolean =>
  leader.vmId === self.vmId && leader.token > election.lastOwnToken;

const isLeaderSilent = (state: State, now: Now): boolean => {
  const { leader } = state;
  if (isOwnFormerIncarnation(state)) return true;
  // The silence counts from the first check at the earliest, so that an existing leader gets time for a
  // heartbeat and, if there is no leader yet, VMs with more CPU claim first.
  leader.lastSeenAt ??= now.responsiveAt;
  const silenceMs = now.responsiveAt - leader.lastSeenAt;
  const claimDelayMs = computeClaimDelaySteps(state) * claimDelayStepMs;
  return silenceMs >= (leader.resigned || leader.token === 0 ? 0 : leaderTimeoutMs) + claimDelayMs;
};

const mayClaim = (state: State, now: Now): boolean =>
  state.term === null &&
  state.shutdownAt === null &&
  state.election.phase === 'idle' &&
  now.at >= state.election.backoffUntil &&
  state.config !== null &&
  isCaughtUp(state, 'journal', now) &&
  state.streams.journal.failedReads === 0;

const readClaims = (state: State): Effect[] => {
  const { election } = state;
  state.lastCallId += 1;
  election.phase = 'reading';
  election.pendingCallId = state.lastCallId;
  election.backoffUntil = 0;
  return [
    {
      type: 'readPage',
      stream: 'claims',
      readId: state.lastCallId,
      afterKey: null,
      timeoutMs: callTimeoutMs,
    },
  ];
};

const finishElection = (state: State, now: Now, backoffMs: number): Effect[] => {
  const { election } = state;
  election.phase = 'idle';
  election.pendingCallId = 0;
  election.backoffUntil = now.at + backoffMs;
  return [];
};

const startElection = (state: State, now: Now): Effect[] => {
  if (!mayClaim(state, now) || !isLeaderSilent(state, now)) return [];
  const fields = {
    formerLead: state.leader.vmId,
    token: state.leader.token,
    silentMs: Math.round(now.responsiveAt - (state.leader.lastSeenAt ?? now.responsiveAt)),
    resigned: state.leader.resigned,
  };
  return [{ type: 'log', level: 'info', code: 'lead_silent', fields }, ...readClaims(state)];
};

const handleClaims = (state: State, event: EventOf<'pageRead'>): Effect[] => {
  const { election } = state;
  if (election.phase !== 'reading' || election.pendingCallId !== event.readId) return [];
  const newestClaim = event.records.find(({ type }) => type === 'claim');
  if (newestClaim?.type === 'claim') {
    const token = newestClaim.offset + 1;
    const isOwnClaim = newestClaim.incarnation === state.self.incarnation;
    // This process appended the claim, but the answer was lost.
    if (isOwnClaim && token > state.leader.token) {
      finishElection(state, event, 0);
      return beginTerm(state, token, event);
    }
    // Another VM has just claimed; wait for its first record as the leader.
    if (token > state.leader.token && !isOwnClaim) {
      state.leader.token = token;
      state.leader.vmId = newestClaim.vmId;
      state.leader.resigned = false;
      state.leader.lastSeenAt = event.responsiveAt;
      return finishElection(state, event, lostClaimBackoffMs);
    }
  }
  // A record of the leader may have arrived while the claims were read.
  if (!isLeaderSilent(state, event)) return finishElection(state, event, 0);
  state.lastCallId += 1;
  election.phase = 'claiming';
  election.pendingCallId = state.lastCallId;
  return [
    {
      type: 'append',
      appendId: state.lastCallId,
      stream: 'claims',
      records: [{ type: 'claim', vmId: state.self.vmId, incarnation: state.self.incarnation }],
      condition: { type: 'endsAt', offset: event.endOffset },
      timeoutMs: callTimeoutMs,
    },
  ];
};

const handleAppended = (state: State, event: EventOf<'appended'>): Effect[] => {
  const { election } = state;
  if (election.phase !== 'claiming' || election.pendingCallId !== event.appendId) return [];
  finishElection(state, event, 0);
  return beginTerm(state, event.offset + 1, event);
};

const handleAppendFailed = (state: State, event: EventOf<'appendFailed'>): Effect[] => {
  const { election } = state;
  if (election.phase !== 'claiming' || election.pendingCallId !== event.appendId) return [];
  if (event.reason === 'unknown') return readClaims(state);
  return finishElection(
    state,
    event,
    event.reason === 'conflict' ? lostClaimBackoffMs : failureBackoffMs,
  );
};

const handleReadFailed = (state: State, event: EventOf<'readFailed'>): Effect[] => {
  const { election } = state;
  if (election.phase !== 'reading' || election.pendingCallId !== event.readId) return [];
  return finishElection(state, event, failureBackoffMs);
};

/** Claim leadership when there is no active leader. */
export const electionHandlers: HandlerTable = {
  tick: startElection,
  pageRead: handleClaims,
  readFailed: handleReadFailed,
  appended: handleAppended,
  appendFailed: handleAppendFailed,
};
