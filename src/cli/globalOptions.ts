import type { CliOption } from './CliOption.js';

/** Options that every command accepts. */
export const globalOptions: readonly CliOption[] = [
  {
    flags: '--url <url>',
    description: 'URL of a gateway (default: SISKIN_URL or http://127.0.0.1:8080)',
  },
  {
    flags: '--token <token>',
    description: 'Access token (default: SISKIN_TOKEN, which ps does not show)',
  },
  { flags: '--json', description: 'Print JSON instead of tables' },
];
