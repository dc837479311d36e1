import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type { CallerError } from './CallerError.js';

/** Reads a complete request body, up to a limit in bytes. */
export const readBody = async (
  incoming: IncomingMessage,
  limitBytes: number,
): Promise<Result<Buffer, CallerError>> => {
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  try {
    for await (const chunk of incoming) {
      receivedBytes += (chunk as Buffer).length;
      if (receivedBytes > limitBytes) return err({ kind: 'bodyTooLarge', limitBytes });
      chunks.push(chunk as Buffer);
    }
  } catch {
    return err({ kind: 'callerGone' });
  }
  return ok(Buffer.concat(chunks));
};
