import type { ZodType } from 'zod';
import type { Exchanges } from './Exchanges.js';
import type { HttpContext } from './HttpContext.js';

/** Opens an exchange with the validated JSON body, or answers 400. */
export const openJsonExchange = async <T>(
  exchanges: Exchanges,
  context: HttpContext,
  schema: ZodType<T>,
  start: (requestId: string, body: T) => void,
): Promise<Response> => {
  const text = await context.req.text();
  let json: unknown;
  try {
    // Requests without arguments may omit the body.
    json = text === '' ? {} : JSON.parse(text);
  } catch {
    return Response.json({ error: 'bad-json' }, { status: 400 });
  }
  const parsed = schema.safeParse(json);
  if (!parsed.success) {
    return Response.json({ error: 'bad-body', issues: parsed.error.issues }, { status: 400 });
  }
  return exchanges.openExchange(context, (requestId) => start(requestId, parsed.data));
};
