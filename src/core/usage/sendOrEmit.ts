import type { Effect } from '../Effect.js';
import type { Message } from '../Message.js';
import type { NodeId } from '../NodeId.js';
import type { State } from '../State.js';

/** Sends a message; a message to this daemon itself becomes an event at once. */
export const sendOrEmit = (state: State, to: NodeId, message: Message): Effect => {
  const self: NodeId = `${state.self.vmId}/${state.self.role}`;
  return to === self
    ? { type: 'emit', event: { ...message, from: self } }
    : { type: 'send', to, message };
};
