import type { HandlerTable } from '../HandlerTable.js';
import { failWrite } from './failWrite.js';
import { finishWrite } from './finishWrite.js';

/** Takes over the answers to the lead's appends. */
export const progressHandlers: HandlerTable = {
  appended: (state, event) => {
    const { term } = state;
    const write = term?.write;
    if (!term || !write || write.appendId !== event.appendId) return [];
    if (term.phase === 'fencing') term.fenceEnd = event.end;
    return finishWrite(state, term, write, event.offset, event);
  },
  appendFailed: (state, event) => {
    const write = state.term?.write;
    if (!write || write.appendId !== event.appendId) return [];
    return failWrite(state, write, event.reason, event);
  },
};
