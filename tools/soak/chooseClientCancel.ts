import type { ClientCancel } from './ClientCancel.js';
import type { Soak } from './Soak.js';

const cancelProbability = 0.4;
const maxEarlyMs = 25;
const maxGiveUpMs = 1500;
const maxDelayMs = 5000;

/** Kinds of cancels of equal share; a delay of 0 is the most frequent one of clients. */
const cancelFactories: ((soak: Soak) => ClientCancel)[] = [
  ({ random }) => ({ type: 'beforeAnswer', afterMs: random() * maxEarlyMs }),
  ({ random }) => ({ type: 'beforeAnswer', afterMs: random() * maxGiveUpMs }),
  () => ({ type: 'afterAnswer', afterMs: 0 }),
  () => ({ type: 'afterAnswer', afterMs: 0 }),
  ({ random }) => ({ type: 'afterAnswer', afterMs: random() * maxDelayMs }),
  ({ random }) => ({ type: 'afterAnswer', afterMs: random() * maxDelayMs }),
  () => ({ type: 'inWave' }),
  () => ({ type: 'inWave' }),
];

/** Chooses whether and when the client of a job cancels it. */
export const chooseClientCancel = (soak: Soak): ClientCancel => {
  if (soak.random() >= cancelProbability) return { type: 'none' };
  return cancelFactories[Math.floor(soak.random() * cancelFactories.length)]!(soak);
};
