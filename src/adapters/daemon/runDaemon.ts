import { cac } from 'cac';
import type { Role } from '../../core/Role.js';
import { formatConfigError } from '../config/formatConfigError.js';
import { loadConfig } from '../config/loadConfig.js';
import { startDaemon } from './startDaemon.js';

const configErrorExitCode = 6;
const usageErrorExitCode = 2;

const exitWithConfigError = (message: string): never => {
  process.stderr.write(`${message}\n`);
  process.exit(configErrorExitCode);
};

/** Parses the command line of a daemon and starts it; exits if the configuration is invalid. */
export const runDaemon = (role: Role): void => {
  const program = cac(`siskin-${role}`);
  program
    .command('', `Start the ${role} of this VM`)
    .option('--config <file>', 'Configuration file in TOML')
    .example(`siskin-${role} --config /etc/siskinhollow.toml`)
    .action(({ config: configFile }: { config?: string }) => {
      if (configFile === undefined) exitWithConfigError('--config FILE is required');
      else {
        loadConfig(configFile).match(
          (config) => startDaemon(role, config),
          (error) => exitWithConfigError(formatConfigError(error)),
        );
      }
    });
  program.help();
  try {
    program.parse();
  } catch (error) {
    // cac throws on an unknown or unused argument.
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    process.exit(usageErrorExitCode);
  }
};
