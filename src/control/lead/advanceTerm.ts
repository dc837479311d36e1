import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import { placeWaiting } from '../placement/placeWaiting.js';
import { buildPlans } from '../plans/buildPlans.js';
import { retryWrite } from '../progress/retryWrite.js';
import { writeProgress } from '../progress/writeProgress.js';
import { stopBrokenGangs } from '../runs/stopBrokenGangs.js';
import type { State } from '../State.js';
import { closeStream } from '../streams/closeStream.js';
import type { StreamName } from '../streams/StreamName.js';
import { driveHolds } from '../workers/driveHolds.js';
import type { Term } from './Term.js';

// Workers that do not answer a new lead in this time are waited for one by one.
const askingMs = 600;

/** Takes over what the former lead has learned. */
const restoreSpeeds = (term: Term): void => {
  term.former.speeds.forEach(({ workerId, slowness }) => {
    const worker = term.workers.get(workerId);
    if (worker) worker.slowness = { ...slowness };
  });
};

type PhaseStep = (state: State, term: Term, now: Now) => Effect[];

const enterPhase = (term: Term, phase: Term['phase'], now: Now): Effect[] => {
  term.phase = phase;
  term.phaseSince = now.at;
  const fields = { phase, token: term.token, sinceMs: Math.round(now.at - term.since) };
  return [{ type: 'log', level: 'info', code: 'term_phase', fields }];
};

const isReadTo = (state: State, stream: StreamName, offset: number): boolean => {
  const { phase, next } = state.streams[stream];
  return phase === 'tail' && next >= offset;
};

const finishReading: PhaseStep = (state, term, now) => {
  const { writers } = term;
  const read = isReadTo(state, 'journal', writers.journal.fenceEnd);
  if (!read || !isReadTo(state, 'runs', writers.runs.fenceEnd)) return [];
  if (!isReadTo(state, 'workers', 0)) return [];
  closeStream(state, 'runs');
  const effects = enterPhase(term, 'asking', now);
  restoreSpeeds(term);
  effects.push(...buildPlans(state, term, now));
  return [...effects, ...driveHolds(state, term, now)];
};

const isAnswered = (term: Term): boolean =>
  [...term.workers.values()].every(({ entry, clock }) => entry === null || clock !== null);

const finishAsking: PhaseStep = (state, term, now) => {
  if (!isAnswered(term) && now.at - term.phaseSince < askingMs) {
    return [...driveHolds(state, term, now), ...writeProgress(state, term, now)];
  }
  term.placementDue = true;
  return enterPhase(term, 'scheduling', now);
};

const scheduleTasks: PhaseStep = (state, term, now) => {
  const effects = driveHolds(state, term, now);
  // Starts are written before they are sent, so a pass during an open append gains nothing.
  if (term.placementDue && term.writers.runs.write === null && state.shutdownAt === null) {
    effects.push(...placeWaiting(state, term, now));
  }
  return [...effects, ...writeProgress(state, term, now)];
};

const repeatFence: PhaseStep = (state, term, now) => {
  const { journal, runs } = term.writers;
  if (!journal.write && !runs.write) return enterPhase(term, 'reading', now);
  return [...retryWrite(state, term, 'journal', now), ...retryWrite(state, term, 'runs', now)];
};

const phaseSteps: Record<Term['phase'], PhaseStep> = {
  fencing: repeatFence,
  reading: finishReading,
  asking: finishAsking,
  scheduling: scheduleTasks,
};

/** Does what the state of the term now allows; called after each event. */
export const advanceTerm = (state: State, now: Now): Effect[] => {
  const { term } = state;
  if (!term) return [];
  const before = term.phase;
  const effects = stopBrokenGangs(term, now);
  effects.push(...phaseSteps[before](state, term, now));
  return term.phase === before ? effects : [...effects, ...advanceTerm(state, now)];
};
