import type { AccessTarget } from '../access/AccessTarget.js';
import { buildVisibleSnapshot } from '../access/buildVisibleSnapshot.js';
import type { Principal } from '../access/Principal.js';
import type { Command } from '../commands/Command.js';
import type { CommandResult } from '../commands/CommandResult.js';
import type { NodeId } from '../NodeId.js';
import { createRefusal } from '../createRefusal.js';
import type { State } from '../State.js';
import { chooseScheduler } from './chooseScheduler.js';
import type { CommandRoute } from './CommandRoute.js';
import { findJobZone } from './findJobZone.js';

const findLead = (state: State, zone: string, at: number): NodeId[] => {
  const lead = chooseScheduler(state, zone, true, at);
  return lead ? [lead.node] : [];
};

const findJobLead = (state: State, command: { jobId: string }, at: number): NodeId[] =>
  findLead(state, command.jobId.slice(0, command.jobId.lastIndexOf('.')), at);

// Without a lead, a zone is represented by a scheduler that holds workers.
const findSchedulerOfEachZone = (state: State, _command: unknown, at: number): NodeId[] =>
  Object.keys(state.settings.inForce?.tree.zones ?? {}).flatMap((zone) => {
    const scheduler =
      chooseScheduler(state, zone, true, at) ?? chooseScheduler(state, zone, false, at);
    return scheduler ? [scheduler.node] : [];
  });

const findRecorder = (state: State): NodeId[] => {
  const node: NodeId = `${state.self.vmId}/recorder`;
  return state.membership.peers.get(node)?.linked ? [node] : [];
};

// If no zone has a scheduler, for example without settings, the VM's own scheduler answers.
const findStatusTargets = (state: State, command: unknown, at: number): NodeId[] => {
  const schedulers = findSchedulerOfEachZone(state, command, at);
  const ownScheduler: NodeId = `${state.self.vmId}/scheduler`;
  return schedulers.length > 0 || !state.membership.peers.get(ownScheduler)?.linked
    ? schedulers
    : [ownScheduler];
};

const keepCommand = <C extends Command>(_state: State, command: C): Command => command;

const getWorkspaceTarget = (command: { workspace: string }): AccessTarget => ({
  kind: 'workspace',
  workspace: command.workspace,
});

const getGlobalTarget = (): AccessTarget => ({ kind: 'global' });

const showVisibleSettings = (state: State, principal: Principal): CommandResult => {
  const { inForce } = state.settings;
  return inForce
    ? { ok: true, data: buildVisibleSnapshot(principal, inForce) }
    : { ok: false, refusal: createRefusal('no-settings', 'not-run', 1000) };
};

/** Authorization and routing of all commands, by kind. */
export const commandRoutes: { readonly [K in Command['kind']]: CommandRoute<K> } = {
  submitJob: {
    getAccessTarget: getWorkspaceTarget,
    // The job id contains the zone, so that any gateway can route later commands on the job.
    resolveZone: (state, command) => {
      const zone = command.zone ?? findJobZone(state, command.workspace);
      return { ...command, zone, jobId: `${zone}.${command.jobId}` };
    },
    findTargets: findJobLead,
    mutates: true,
    merge: 'single',
    refusalWithoutTarget: 'no-lead',
  },
  cancelJob: {
    getAccessTarget: getWorkspaceTarget,
    resolveZone: keepCommand,
    findTargets: findJobLead,
    mutates: true,
    merge: 'single',
    refusalWithoutTarget: 'no-lead',
  },
  showJob: {
    getAccessTarget: getWorkspaceTarget,
    resolveZone: keepCommand,
    findTargets: findJobLead,
    mutates: false,
    merge: 'single',
    refusalWithoutTarget: 'no-lead',
  },
  listJobs: {
    getAccessTarget: getWorkspaceTarget,
    resolveZone: keepCommand,
    findTargets: findSchedulerOfEachZone,
    mutates: false,
    merge: 'concatenate',
    refusalWithoutTarget: 'no-lead',
  },
  showStatus: {
    getAccessTarget: getGlobalTarget,
    resolveZone: keepCommand,
    findTargets: findStatusTargets,
    mutates: false,
    merge: 'by-zone',
    refusalWithoutTarget: 'no-lead',
  },
  showSettings: {
    // Every principal may read the settings; the answer contains only the part that it may see.
    getAccessTarget: () => ({ kind: 'own' }),
    answerLocally: showVisibleSettings,
    resolveZone: keepCommand,
    findTargets: findRecorder,
    mutates: false,
    merge: 'single',
    refusalWithoutTarget: 'log-unavailable',
  },
  proposeSettings: {
    getAccessTarget: (command) => ({ kind: 'subtree', path: command.path }),
    resolveZone: keepCommand,
    findTargets: findRecorder,
    mutates: true,
    merge: 'single',
    refusalWithoutTarget: 'log-unavailable',
  },
  listProposals: {
    getAccessTarget: (command) =>
      command.path === undefined ? getGlobalTarget() : { kind: 'subtree', path: command.path },
    resolveZone: keepCommand,
    findTargets: findRecorder,
    mutates: false,
    merge: 'single',
    refusalWithoutTarget: 'log-unavailable',
  },
  reportUsage: {
    getAccessTarget: getWorkspaceTarget,
    resolveZone: keepCommand,
    findTargets: findRecorder,
    mutates: false,
    merge: 'single',
    refusalWithoutTarget: 'log-unavailable',
  },
};
