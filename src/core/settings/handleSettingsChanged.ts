import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { NodeId } from '../NodeId.js';
import type { State } from '../State.js';

/** Sends new settings from the recorder to the other daemons of its VM. */
export const handleSettingsChanged = (
  state: State,
  event: EventOf<'settingsChanged'>,
): Effect[] => {
  const { role, vmId } = state.self;
  if (role !== 'recorder') return [];
  const targets: NodeId[] = [`${vmId}/gateway`, `${vmId}/scheduler`];
  return targets.map((to) => ({
    type: 'send',
    to,
    message: { type: 'settingsTree', snapshot: event.snapshot },
  }));
};
