import { decodeMessage } from '../../src/adapters/mesh/decodeMessage.js';
import { encodeMessage } from '../../src/adapters/mesh/encodeMessage.js';
import { maxMessageBytes } from '../../src/adapters/mesh/maxMessageBytes.js';
import type { Message } from '../../src/core/Message.js';

/** Size of one message and the time to encode and decode it. */
interface MessageCost {
  bytes: number;
  withinLimit: boolean;
  encodeUs: number;
  decodeUs: number;
}

const minSampleMs = 40;

const measureUs = (run: () => unknown): number => {
  let runs = 0;
  const start = performance.now();
  do {
    run();
    runs += 1;
  } while (performance.now() - start < minSampleMs);
  return ((performance.now() - start) * 1000) / runs;
};

/** Measures a valid message with the codec of the mesh. */
export const measureMessage = (message: Message): MessageCost => {
  const data = encodeMessage(message);
  const decoded = decodeMessage(data);
  if (decoded.isErr()) throw new Error(`invalid sample of ${message.type}`);
  // Warm-up.
  measureUs(() => decodeMessage(data));
  return {
    bytes: data.length,
    withinLimit: data.length <= maxMessageBytes,
    encodeUs: measureUs(() => encodeMessage(message)),
    decodeUs: measureUs(() => decodeMessage(data)),
  };
};
