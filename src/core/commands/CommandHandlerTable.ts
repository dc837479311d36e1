import type { Command } from './Command.js';
import type { CommandHandler } from './CommandHandler.js';

/** Command handlers of one feature, by kind. */
export type CommandHandlerTable = { readonly [K in Command['kind']]?: CommandHandler<K> };
