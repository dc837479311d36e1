import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import { runPlacementPass } from '../placement/runPlacementPass.js';
import { buildPlans } from '../plans/buildPlans.js';
import { retryAppend } from '../progress/retryAppend.js';
import { appendChanges } from '../progress/appendChanges.js';
import { buildLeaderRecord } from '../progress/buildLeaderRecord.js';
import { beginAppend } from '../progress/beginAppend.js';
import { createAppend } from '../progress/createAppend.js';
import type { LeaderStream } from '../progress/LeaderStream.js';
import { isWriterIdle } from '../progress/isWriterIdle.js';
import { stopIncompleteGangs } from '../runs/stopIncompleteGangs.js';
import type { State } from '../State.js';
import { closeStream } from '../streams/closeStream.js';
import { isCurrent } from '../streams/isCurrent.js';
import type { StreamName } from '../streams/StreamName.js';
import { sendDuePolls } from '../workers/sendDuePolls.js';
import type { Term } from './Term.js';

// After this time a new leader schedules without the workers that have not answered yet; each of them
// becomes schedulable when it answers.
const maxAskingMs = 600;

/** Restores the worker speeds that earlier leaders estimated. */
const restoreSpeeds = (term: Term): void => {
  // The last records are left from when there were more workers; what others say of the same worker is newer.
  const records = [...term.predecessor.speeds].sort(([a], [b]) => b - a);
  records.forEach(([, speeds]) =>
    speeds.forEach(({ workerId, logSlowdown }) => {
      const worker = term.workers.get(workerId);
      if (worker) worker.logSlowdown = { ...logSlowdown };
    }),
  );
};

type PhaseHandler = (state: State, term: Term, now: Now) => Effect[];

const enterPhase = (state: State, term: Term, phase: Term['phase'], now: Now): Effect[] => {
  term.phase = phase;
  term.phaseStartedAt = now.at;
  const fields = {
    phase,
    token: term.token,
    sinceMs: Math.round(now.at - term.startedAt),
    journalOffset: state.streams.journal.nextOffset,
  };
  return [{ type: 'log', level: 'info', code: 'term_phase', fields }];
};

const hasReadTo = (state: State, stream: StreamName, offset: number): boolean => {
  const { phase, nextOffset } = state.streams[stream];
  return phase === 'tail' && nextOffset >= offset;
};

const finishReading: PhaseHandler = (state, term, now) => {
  const { writers } = term;
  const hasReadJournal = hasReadTo(state, 'journal', writers.journal.fenceEndOffset);
  if (!hasReadJournal || !hasReadTo(state, 'runs', writers.runs.fenceEndOffset)) return [];
  if (!hasReadTo(state, 'workers', 0)) return [];
  closeStream(state, 'runs');
  const effects = enterPhase(state, term, 'asking', now);
  restoreSpeeds(term);
  effects.push(...buildPlans(state, term, now));
  return [...effects, ...sendDuePolls(state, term, now)];
};

const hasAllAnswers = (term: Term): boolean =>
  [...term.workers.values()].every(({ entry, clock }) => entry === null || clock !== null);

const finishAsking: PhaseHandler = (state, term, now) => {
  if (!hasAllAnswers(term) && now.at - term.phaseStartedAt < maxAskingMs) {
    return [...sendDuePolls(state, term, now), ...appendChanges(state, term, now)];
  }
  term.placementDue = true;
  return enterPhase(state, term, 'scheduling', now);
};

// Starts are persisted before they are sent, so a pass during a pending append gains nothing. A leader that can't
// read the journal doesn't know which jobs were cancelled.
const mayPlace = (state: State, term: Term, now: Now): boolean =>
  term.placementDue &&
  now.at >= term.nextPlacementAt &&
  isWriterIdle(term.writers.runs) &&
  state.shutdownAt === null &&
  isCurrent(state, 'journal', now);

const scheduleTasks: PhaseHandler = (state, term, now) => {
  const effects = sendDuePolls(state, term, now);
  if (mayPlace(state, term, now)) effects.push(...runPlacementPass(state, term, now));
  return [...effects, ...appendChanges(state, term, now)];
};

// Progress in the runs may belong to a job that was submitted a moment before. With the journal fenced last, its
// submission precedes the fence there, up to which the journal is read.
const fencingOrder: readonly LeaderStream[] = ['runs', 'journal'];

/** Fences the former leader out of one stream after the other. */
const fenceStreams: PhaseHandler = (state, term, now) => {
  const stream = fencingOrder.find((name) => !Number.isFinite(term.writers[name].fenceEndOffset));
  if (!stream) {
    term.fencedAt = now.at;
    return enterPhase(state, term, 'reading', now);
  }
  if (term.writers[stream].pending) return retryAppend(state, term, stream, now);
  const fence = { jobId: null, records: [buildLeaderRecord(state, term)] };
  return beginAppend(state, term, createAppend(stream, [fence], now), now);
};

const phaseHandlers: Record<Term['phase'], PhaseHandler> = {
  fencing: fenceStreams,
  reading: finishReading,
  asking: finishAsking,
  scheduling: scheduleTasks,
};

/** Advances the term through its phases and does the work of the current one; called after each event. */
export const advanceTerm = (state: State, now: Now): Effect[] => {
  const { term } = state;
  if (!term) return [];
  const previousPhase = term.phase;
  const effects = stopIncompleteGangs(term, now);
  effects.push(...phaseHandlers[previousPhase](state, term, now));
  return term.phase === previousPhase ? effects : [...effects, ...advanceTerm(state, now)];
};
