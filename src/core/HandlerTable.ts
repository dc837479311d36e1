import type { Event } from './Event.js';
import type { Handler } from './Handler.js';

/** Event handlers of one feature, by event type. */
export type HandlerTable = { readonly [T in Event['type']]?: Handler<T> };
