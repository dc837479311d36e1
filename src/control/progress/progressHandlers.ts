import type { HandlerTable } from '../HandlerTable.js';
import { failWrite } from './failWrite.js';
import { findWriter } from './findWriter.js';
import { finishWrite } from './finishWrite.js';

/** Takes over the answers to the lead's appends. */
export const progressHandlers: HandlerTable = {
  appended: (state, event) => {
    const { term } = state;
    const writer = term && findWriter(term, event.appendId);
    if (!term || !writer) return [];
    if (term.phase === 'fencing') writer.fenceEnd = event.end;
    return finishWrite(term, writer, event);
  },
  appendFailed: (state, event) => {
    const write = state.term && findWriter(state.term, event.appendId)?.write;
    return write ? failWrite(state, write, event.reason, event) : [];
  },
};
