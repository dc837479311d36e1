import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { HandlerTable } from '../HandlerTable.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { isFollowing } from '../streams/isFollowing.js';
import { beginTerm } from './beginTerm.js';
import { computeRank } from './computeRank.js';

// Two beats of the lead and an answer of a slow store; leases outlast it and a take-over.
const leadSilenceMs = 1200;
const rankStepMs = 50;
const callTimeoutMs = 900;
// Gives the VM that claimed first the time to write as the lead.
const yieldMs = 600;
const retryMs = 200;

/** The lead is a former life of this VM's own process, which cannot lead any more. */
const isOwnFormerLife = ({ lead, election, self }: State): boolean =>
  lead.vmId === self.vmId && lead.token > election.lastToken;

const isLeadSilent = (state: State, now: Now): boolean => {
  const { lead } = state;
  if (isOwnFormerLife(state)) return true;
  // From the first look at the journal, an old lead gets the time for one beat, and strong VMs claim
  // before weak ones where there was no lead yet.
  lead.lastSeenAt ??= now.at;
  const silenceMs = now.at - lead.lastSeenAt;
  const waitMs = computeRank(state) * rankStepMs;
  return silenceMs >= (lead.resigned || lead.token === 0 ? 0 : leadSilenceMs) + waitMs;
};

const mayClaim = (state: State, now: Now): boolean =>
  state.term === null &&
  state.shutdownAt === null &&
  state.election.phase === 'idle' &&
  now.at >= state.election.waitUntil &&
  state.config !== null &&
  isFollowing(state, 'journal', now) &&
  state.streams.journal.failures === 0;

const readClaims = (state: State): Effect[] => {
  const { election } = state;
  state.lastCallId += 1;
  election.phase = 'reading';
  election.callId = state.lastCallId;
  election.waitUntil = 0;
  return [
    {
      type: 'readPage',
      stream: 'claims',
      readId: state.lastCallId,
      after: null,
      timeoutMs: callTimeoutMs,
    },
  ];
};

const stopElection = (state: State, now: Now, pauseMs: number): Effect[] => {
  const { election } = state;
  election.phase = 'idle';
  election.callId = 0;
  election.waitUntil = now.at + pauseMs;
  return [];
};

const startElection = (state: State, now: Now): Effect[] => {
  if (!mayClaim(state, now) || !isLeadSilent(state, now)) return [];
  const fields = {
    formerLead: state.lead.vmId,
    token: state.lead.token,
    silentMs: Math.round(Math.min(now.at - (state.lead.lastSeenAt ?? now.at), 1e9)),
    resigned: state.lead.resigned,
  };
  return [{ type: 'log', level: 'info', code: 'lead_silent', fields }, ...readClaims(state)];
};

const handleClaims = (state: State, event: EventOf<'pageRead'>): Effect[] => {
  const { election } = state;
  if (election.phase !== 'reading' || election.callId !== event.readId) return [];
  const newest = event.records.find(({ type }) => type === 'claim');
  if (newest?.type === 'claim') {
    const token = newest.offset + 1;
    const own = newest.incarnation === state.self.incarnation;
    // An earlier claim of this process whose answer was lost.
    if (own && token > state.lead.token) {
      stopElection(state, event, 0);
      return beginTerm(state, token, event);
    }
    // Somebody has just claimed: its first record as the lead must come first.
    if (token > state.lead.token && !own) {
      state.lead.token = token;
      state.lead.vmId = newest.vmId;
      state.lead.resigned = false;
      state.lead.lastSeenAt = event.at;
      return stopElection(state, event, yieldMs);
    }
  }
  // The lead may have been heard of while the claims were read.
  if (!isLeadSilent(state, event)) return stopElection(state, event, 0);
  state.lastCallId += 1;
  election.phase = 'claiming';
  election.callId = state.lastCallId;
  return [
    {
      type: 'append',
      appendId: state.lastCallId,
      stream: 'claims',
      records: [{ type: 'claim', vmId: state.self.vmId, incarnation: state.self.incarnation }],
      condition: { type: 'endsAt', offset: event.end },
      timeoutMs: callTimeoutMs,
    },
  ];
};

const handleAppended = (state: State, event: EventOf<'appended'>): Effect[] => {
  const { election } = state;
  if (election.phase !== 'claiming' || election.callId !== event.appendId) return [];
  stopElection(state, event, 0);
  return beginTerm(state, event.offset + 1, event);
};

const handleAppendFailed = (state: State, event: EventOf<'appendFailed'>): Effect[] => {
  const { election } = state;
  if (election.phase !== 'claiming' || election.callId !== event.appendId) return [];
  if (event.reason === 'unknown') return readClaims(state);
  return stopElection(state, event, event.reason === 'conflict' ? yieldMs : retryMs);
};

const handleReadFailed = (state: State, event: EventOf<'readFailed'>): Effect[] => {
  const { election } = state;
  if (election.phase !== 'reading' || election.callId !== event.readId) return [];
  return stopElection(state, event, retryMs);
};

/** Claims the lead when nobody leads. */
export const electionHandlers: HandlerTable = {
  tick: startElection,
  pageRead: handleClaims,
  readFailed: handleReadFailed,
  appended: handleAppended,
  appendFailed: handleAppendFailed,
};
