import fc from 'fast-check';
import type { FuzzCommand } from './FuzzCommand.js';

type Arbitraries = Readonly<Record<FuzzCommand['type'], fc.Arbitrary<FuzzCommand>>>;

const forMs = fc.constantFrom(300, 1500, 2600, 3200, 4000, 5500, 8000, 14_000);
const node = fc.nat(11);
const vm = fc.nat(3);
const worker = fc.nat(7);

const make = <T extends FuzzCommand['type']>(
  type: T,
  fields: { [K in keyof Omit<Extract<FuzzCommand, { type: T }>, 'type'>]: fc.Arbitrary<unknown> },
): fc.Arbitrary<FuzzCommand> =>
  fc.record({ type: fc.constant(type), ...fields }) as unknown as fc.Arbitrary<FuzzCommand>;

/** Arbitrary of each kind of command. */
export const commandArbitraries: Arbitraries = {
  request: make('request', {
    gateway: fc.nat(3),
    idempotent: fc.boolean(),
    key: fc.option(fc.nat(2), { freq: 2 }),
    serviceMs: fc.constantFrom(20, 200, 1500, 6000),
    timeoutMs: fc.constantFrom(20_000, 6000, 2500, 800),
  }),
  submitJob: make('submitJob', {
    gateway: fc.nat(3),
    tasks: fc.integer({ min: 1, max: 4 }),
    runMs: fc.constantFrom(60_000, 15_000, 4000, 100),
    preemptible: fc.boolean(),
  }),
  submitGuaranteed: make('submitGuaranteed', { gateway: fc.nat(3) }),
  cancelJob: make('cancelJob', { gateway: fc.nat(3), job: fc.nat(5), all: fc.boolean() }),
  leave: make('leave', { caller: fc.nat(20) }),
  advance: make('advance', { ms: fc.constantFrom(5, 40, 250, 900, 1600, 3100, 4200, 7000) }),
  kill: make('kill', { node, forMs }),
  killVm: make('killVm', { vm, forMs }),
  stop: make('stop', { node, forMs }),
  terminate: make('terminate', { node }),
  cutZones: make('cutZones', { forMs }),
  cutVms: make('cutVms', { vm, other: vm, forMs }),
  cutWorkers: make('cutWorkers', { vm, workers: fc.nat(255), forMs }),
  cutLog: make('cutLog', { vm, forMs }),
  logOutage: make('logOutage', { forMs }),
  loseAppendAnswers: make('loseAppendAnswers', { forMs }),
  propose: make('propose', {
    gateway: fc.nat(3),
    path: fc.constantFrom('teams/t1', 'teams/t2', 'zones'),
    again: fc.boolean(),
  }),
  workerLeaves: make('workerLeaves', { worker }),
  workerRestarts: make('workerRestarts', { worker, forMs }),
  workerFails: make('workerFails', { worker, how: fc.constantFrom('status', 'reset'), forMs }),
  workerSlow: make('workerSlow', { worker, forMs }),
  slowCalls: make('slowCalls', { forMs }),
  duplicateCalls: make('duplicateCalls', { forMs }),
};
