import type { HandlerTable } from '../HandlerTable.js';
import { handleAppendFailure } from './handleAppendFailure.js';
import { findWriter } from './findWriter.js';
import { finishAppend } from './finishAppend.js';

/** Handle the answers to the leader's appends. */
export const progressHandlers: HandlerTable = {
  appended: (state, event) => {
    const { term } = state;
    const writer = term && findWriter(term, event.appendId);
    if (!term || !writer) return [];
    if (term.phase === 'fencing') writer.fenceEndOffset = event.endOffset;
    return finishAppend(state, term, writer, event);
  },
  appendFailed: (state, event) => {
    const { term } = state;
    const append = term && findWriter(term, event.appendId)?.pending;
    return append ? handleAppendFailure(state, term, append, event.reason, event) : [];
  },
};
