import type { HandlerTable } from '../HandlerTable.js';
import { handleAppendFailure } from './handleAppendFailure.js';
import { findWriter } from './findWriter.js';
import { finishAppend } from './finishAppend.js';

/** Takes over the answers to the lead's appends. */
export const progressHandlers: HandlerTable = {
  appended: (state, event) => {
    const { term } = state;
    const writer = term && findWriter(term, event.appendId);
    if (!term || !writer) return [];
    if (term.phase === 'fencing') writer.fenceEndOffset = event.end;
    return finishAppend(term, writer, event);
  },
  appendFailed: (state, event) => {
    const write = state.term && findWriter(state.term, event.appendId)?.pending;
    return write ? handleAppendFailure(state, write, event.reason, event) : [];
  },
};
