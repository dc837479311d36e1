import { cac } from 'cac';

/** Reads the flags of a stand-in; the defaults list all its flags. */
export const readFlags = <T extends Record<string, string | number>>(
  name: string,
  argv: string[],
  defaults: T,
): T => {
  const cli = cac(name);
  const command = cli.command('', `Stand-in for the platform: ${name}`);
  Object.entries(defaults).forEach(([flag, value]) => {
    const option = flag.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
    command.option(`--${option} <value>`, `default: ${value}`, { default: value });
  });
  let flags = defaults;
  command.action((options: T) => {
    flags = options;
  });
  cli.help();
  cli.parse(argv);
  if (cli.options.help) process.exit(0);
  return flags;
};
