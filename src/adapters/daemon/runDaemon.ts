import { cac } from 'cac';
import type { Role } from '../../core/Role.js';
import { formatConfigError } from '../config/formatConfigError.js';
import { loadConfig } from '../config/loadConfig.js';
import { startDaemon } from './startDaemon.js';

const configErrorStatus = 6;
const usageErrorStatus = 2;

const failConfig = (message: string): never => {
  process.stderr.write(`${message}\n`);
  process.exit(configErrorStatus);
};

/** Reads the command line of a daemon and starts it; a bad configuration starts nothing. */
export const runDaemon = (role: Role): void => {
  const program = cac(`siskin-${role}`);
  program
    .command('', `Start the ${role} of this VM`)
    .option('--config <file>', 'Configuration file in TOML')
    .example(`siskin-${role} --config /etc/siskinhollow.toml`)
    .action(({ config: path }: { config?: string }) => {
      if (path === undefined) failConfig('--config FILE is required');
      else {
        loadConfig(path).match(
          (config) => startDaemon(role, config),
          (error) => failConfig(formatConfigError(error)),
        );
      }
    });
  program.help();
  try {
    program.parse();
  } catch (error) {
    // cac throws on an unknown or unused argument.
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    process.exit(usageErrorStatus);
  }
};
