import { Packr } from 'msgpackr';
import { err, ok, Result } from 'neverthrow';
import { z } from 'zod';
import type { Message } from '../../core/Message.js';
import type { MeshError } from './MeshError.js';
import { messageSchemas } from './messageSchemas.js';

const packr = new Packr({ useRecords: false });

const envelopeSchema = z.looseObject({ type: z.string() });

const unpack = Result.fromThrowable(
  (data: Uint8Array): unknown => packr.unpack(data),
  (error): MeshError => ({ kind: 'undecodable', detail: String(error) }),
);

/** Decodes and validates a message from another daemon. */
export const decodeMessage = (data: Uint8Array): Result<Message, MeshError> =>
  unpack(data).andThen((value) => {
    const envelope = envelopeSchema.safeParse(value);
    const type = envelope.success ? envelope.data.type : '';
    const schema = Object.hasOwn(messageSchemas, type)
      ? messageSchemas[type as Message['type']]
      : null;
    if (!schema)
      return err<Message, MeshError>({ kind: 'invalid', detail: `unknown message type "${type}"` });
    const parsed = schema.safeParse(value);
    return parsed.success
      ? ok(parsed.data as Message)
      : err<Message, MeshError>({ kind: 'invalid', detail: z.prettifyError(parsed.error) });
  });
