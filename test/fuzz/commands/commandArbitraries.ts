import fc from 'fast-check';
import type { FuzzCommand } from './FuzzCommand.js';

type Arbitraries = Readonly<Record<FuzzCommand['type'], fc.Arbitrary<FuzzCommand>>>;

const forMs = fc.constantFrom(300, 1500, 2600, 3200, 4000, 5500, 8000, 14_000);
const node = fc.nat(11);
const vm = fc.nat(3);
const worker = fc.nat(7);

const buildCommandArbitrary = <T extends FuzzCommand['type']>(
  type: T,
  fields: { [K in keyof Omit<Extract<FuzzCommand, { type: T }>, 'type'>]: fc.Arbitrary<unknown> },
): fc.Arbitrary<FuzzCommand> =>
  fc.record({ type: fc.constant(type), ...fields }) as unknown as fc.Arbitrary<FuzzCommand>;

/** Arbitrary of each type of command. */
export const commandArbitraries: Arbitraries = {
  request: buildCommandArbitrary('request', {
    gateway: fc.nat(3),
    idempotent: fc.boolean(),
    key: fc.option(fc.nat(2), { freq: 2 }),
    serviceMs: fc.constantFrom(20, 200, 1500, 6000),
    timeoutMs: fc.constantFrom(20_000, 6000, 2500, 800),
  }),
  submitJob: buildCommandArbitrary('submitJob', {
    gateway: fc.nat(3),
    tasks: fc.integer({ min: 1, max: 4 }),
    runMs: fc.constantFrom(60_000, 15_000, 4000, 100),
    preemptible: fc.boolean(),
  }),
  submitGuaranteed: buildCommandArbitrary('submitGuaranteed', { gateway: fc.nat(3) }),
  cancelJob: buildCommandArbitrary('cancelJob', {
    gateway: fc.nat(3),
    job: fc.nat(5),
    all: fc.boolean(),
  }),
  leave: buildCommandArbitrary('leave', { caller: fc.nat(20) }),
  advance: buildCommandArbitrary('advance', {
    ms: fc.constantFrom(5, 40, 250, 900, 1600, 3100, 4200, 7000),
  }),
  kill: buildCommandArbitrary('kill', { node, forMs }),
  killVm: buildCommandArbitrary('killVm', { vm, forMs }),
  stop: buildCommandArbitrary('stop', { node, forMs }),
  terminate: buildCommandArbitrary('terminate', { node }),
  cutZones: buildCommandArbitrary('cutZones', { forMs }),
  cutVms: buildCommandArbitrary('cutVms', { vm, other: vm, forMs }),
  cutWorkers: buildCommandArbitrary('cutWorkers', { vm, workers: fc.nat(255), forMs }),
  cutLog: buildCommandArbitrary('cutLog', { vm, forMs }),
  logOutage: buildCommandArbitrary('logOutage', { forMs }),
  loseAppendAnswers: buildCommandArbitrary('loseAppendAnswers', { forMs }),
  propose: buildCommandArbitrary('propose', {
    gateway: fc.nat(3),
    path: fc.constantFrom('teams/t1', 'teams/t2', 'zones'),
    again: fc.boolean(),
  }),
  workerLeaves: buildCommandArbitrary('workerLeaves', { worker }),
  workerRestarts: buildCommandArbitrary('workerRestarts', { worker, forMs }),
  workerFails: buildCommandArbitrary('workerFails', {
    worker,
    how: fc.constantFrom('status', 'reset'),
    forMs,
  }),
  workerSlow: buildCommandArbitrary('workerSlow', { worker, forMs }),
  slowCalls: buildCommandArbitrary('slowCalls', { forMs }),
  duplicateCalls: buildCommandArbitrary('duplicateCalls', { forMs }),
};
