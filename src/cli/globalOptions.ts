import type { CliOption } from './CliOption.js';

/** Options of every command. */
export const globalOptions: readonly CliOption[] = [
  { flags: '--url <url>', description: 'Gateway (default: SISKIN_URL or http://127.0.0.1:8080)' },
  {
    flags: '--token <token>',
    description: 'Token (default: SISKIN_TOKEN, which ps does not show)',
  },
  { flags: '--json', description: 'Print JSON instead of tables' },
];
