import type { HttpBindings } from '@hono/node-server';
import type { Context } from 'hono';

/** Hono context of a request, with Node's request and response objects. */
export type HttpContext = Context<{ Bindings: HttpBindings }>;
