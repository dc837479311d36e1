import type { State } from '../State.js';
import type { Principal } from './Principal.js';

/** Finds the principal of a token by the token's SHA-256 hash in hexadecimal; null if unknown. */
export const resolvePrincipal = (state: State, tokenHash: string): Principal | null => {
  if (tokenHash === state.access.rootTokenHash) return { kind: 'root' };
  const team = state.settings.teamByTokenHash.get(tokenHash);
  return team === undefined ? null : { kind: 'team', team };
};
