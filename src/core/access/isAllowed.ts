import type { State } from '../State.js';
import type { AccessTarget } from './AccessTarget.js';
import type { Principal } from './Principal.js';

type Checks = {
  readonly [K in AccessTarget['kind']]: (
    state: State,
    team: string,
    target: Extract<AccessTarget, { kind: K }>,
  ) => boolean;
};

const checks: Checks = {
  workspace: (state, team, { workspace }) => state.settings.teamByWorkspace.get(workspace) === team,
  subtree: (_state, team, { path }) => path === `teams/${team}`,
  global: () => false,
  own: () => true,
};

/** Tells whether a principal may access a target; a team may access only what belongs to it. */
export const isAllowed = (
  state: State,
  principal: Principal | null,
  target: AccessTarget,
): boolean => {
  if (principal === null) return false;
  if (principal.kind === 'root') return true;
  const check = checks[target.kind] as (
    state: State,
    team: string,
    target: AccessTarget,
  ) => boolean;
  return check(state, principal.team, target);
};
