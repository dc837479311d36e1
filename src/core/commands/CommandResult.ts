import type { Refusal } from '../Refusal.js';

/** Answer to a command: JSON data, or a refusal. */
export type CommandResult = { ok: true; data: unknown } | { ok: false; refusal: Refusal };
