import type { HttpBindings } from '@hono/node-server';
import type { Context } from 'hono';

/** Context of a request with Node's own request and response. */
export type HttpContext = Context<{ Bindings: HttpBindings }>;
