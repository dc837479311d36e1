import type { Refusal } from '../Refusal.js';

/** Result of a command: JSON data, or a refusal. */
export type CommandResult = { ok: true; data: unknown } | { ok: false; refusal: Refusal };
