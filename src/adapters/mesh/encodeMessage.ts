import { Packr } from 'msgpackr';
import type { Message } from '../../core/Message.js';

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: false });

/** Encodes a message for the mesh as MessagePack. */
export const encodeMessage = (message: Message): Buffer => packr.pack(message);
