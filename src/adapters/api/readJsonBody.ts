import { err, ok, type Result } from 'neverthrow';
import type { Refusal } from '../../core/Refusal.js';

const maxBodyBytes = 1_048_576;

const refuse = (reason: Refusal['reason'], detail: string): Result<never, Refusal> =>
  err({ reason, outcome: 'not-run', detail });

/** Reads a JSON body of at most 1 MiB, because a message between daemons may be no larger. */
export const readJsonBody = async (request: Request): Promise<Result<unknown, Refusal>> => {
  const chunks: Uint8Array[] = [];
  let receivedBytes = 0;
  for await (const chunk of request.body ?? []) {
    receivedBytes += chunk.byteLength;
    if (receivedBytes > maxBodyBytes)
      return refuse('body-too-large', `The body exceeds ${maxBodyBytes} bytes.`);
    chunks.push(chunk);
  }
  try {
    return ok(JSON.parse(Buffer.concat(chunks).toString('utf8')));
  } catch {
    return refuse('bad-request', 'body: expected JSON.');
  }
};
