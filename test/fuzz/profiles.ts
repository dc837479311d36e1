import { checkAnswer } from './oracle/checkAnswer.js';
import { checkGang } from './oracle/checkGang.js';
import { checkGuarantee } from './oracle/checkGuarantee.js';
import { checkSingleHolder } from './oracle/checkSingleHolder.js';
import { checkLeaving } from './oracle/checkLeaving.js';
import { checkAtMostOnce } from './oracle/checkAtMostOnce.js';
import { checkSettingsConvergence } from './oracle/checkSettingsConvergence.js';
import { checkUsageRecords } from './oracle/checkUsageRecords.js';
import { checkRefusal } from './oracle/checkRefusal.js';
import { checkSettings } from './oracle/checkSettings.js';
import { checkCallersAnswered } from './oracle/checkCallersAnswered.js';
import { checkShutdown } from './oracle/checkShutdown.js';
import type { Profile } from './Profile.js';
import type { PromiseName } from './PromiseName.js';

const twoZones: Profile['simulation'] = {
  zones: ['za', 'zb'],
  workersPerZone: 3,
  roles: ['gateway', 'scheduler'],
};
const oneZone: Profile['simulation'] = { ...twoZones, zones: ['za'], workersPerZone: 4 };

const workerFaults = { workerRestarts: 1, workerFails: 1, workerSlow: 1 };
const processFaults = { kill: 2, killVm: 1, stop: 2, terminate: 1 };
const networkFaults = { cutZones: 1, cutVms: 1, cutWorkers: 2, slowCalls: 1, duplicateCalls: 1 };
const faults = { ...workerFaults, ...processFaults, ...networkFaults };
const callers = { request: 12, leave: 1, advance: 10 };

// Covers the longest deadline, the longest service time on a slow worker, and the end of faults.
const settleMs = 75_000;

/** Test profile of each promise. */
export const profiles: Readonly<Record<PromiseName, Profile>> = {
  answer: {
    simulation: oneZone,
    // Late events of an abandoned attempt need a failed attempt and a duplicated answer together.
    weights: { ...callers, ...faults, workerFails: 4, duplicateCalls: 4 },
    maxLength: 40,
    settleMs,
    property: checkAnswer,
  },
  refusal: {
    simulation: oneZone,
    weights: { ...callers, ...faults },
    maxLength: 40,
    settleMs,
    property: checkRefusal,
  },
  once: {
    simulation: oneZone,
    weights: { ...callers, ...faults },
    maxLength: 40,
    settleMs,
    property: checkAtMostOnce,
  },
  leaving: {
    simulation: oneZone,
    weights: { ...callers, ...faults, workerLeaves: 3 },
    maxLength: 30,
    settleMs: 20_000,
    property: checkLeaving,
  },
  shutdown: {
    simulation: oneZone,
    weights: { request: 10, advance: 8, terminate: 3 },
    maxLength: 30,
    settleMs,
    property: checkShutdown,
    finalProperty: checkCallersAnswered,
  },
  settings: {
    simulation: {
      zones: ['za', 'zb'],
      workersPerZone: 2,
      roles: ['gateway', 'scheduler', 'recorder'],
    },
    weights: {
      propose: 8,
      advance: 8,
      ...processFaults,
      terminate: 0,
      cutZones: 1,
      cutVms: 1,
      cutLog: 2,
      logOutage: 1,
      loseAppendAnswers: 2,
    },
    maxLength: 40,
    // The time within which P8 promises the same settings everywhere.
    settleMs: 7000,
    property: checkSettings,
    finalProperty: checkSettingsConvergence,
  },
  guarantee: {
    simulation: { ...oneZone, guaranteed: true },
    weights: { submitJob: 8, cancelJob: 1, submitGuaranteed: 3, advance: 8, request: 2 },
    maxLength: 30,
    settleMs: 10_000,
    property: checkGuarantee,
  },
  gang: {
    simulation: oneZone,
    weights: {
      submitJob: 6,
      cancelJob: 1,
      advance: 10,
      ...faults,
      workerRestarts: 2,
      cutZones: 0,
    },
    maxLength: 40,
    settleMs: 30_000,
    property: checkGang,
  },
  record: {
    simulation: { ...twoZones, roles: ['gateway', 'scheduler', 'recorder'] },
    weights: {
      submitJob: 6,
      cancelJob: 1,
      advance: 10,
      workerRestarts: 1,
      kill: 2,
      stop: 1,
      cutVms: 1,
      cutWorkers: 1,
      cutLog: 1,
      logOutage: 2,
      loseAppendAnswers: 2,
    },
    maxLength: 30,
    // Covers the longest run, a task lease and the resending of records.
    settleMs: 100_000,
    property: () => null,
    finalProperty: checkUsageRecords,
  },
  holder: {
    simulation: oneZone,
    weights: { advance: 10, ...faults, workerFails: 0, workerSlow: 0 },
    maxLength: 40,
    settleMs: 20_000,
    property: checkSingleHolder,
  },
  settle: {
    simulation: twoZones,
    weights: { ...callers, ...faults, workerLeaves: 1 },
    maxLength: 40,
    settleMs,
    property: () => null,
    finalProperty: checkCallersAnswered,
  },
};
