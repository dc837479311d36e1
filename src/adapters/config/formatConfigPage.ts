import type { ConfigField } from './ConfigField.js';

const formatRow = ({ path, description, required, ...field }: ConfigField): string => {
  const defaultText = required ? 'required' : (field.default ?? 'none');
  return `| \`${path}\` | ${defaultText} | ${description} |`;
};

/** Formats the page that documents the configuration file, from the fields of its schema. */
export const formatConfigPage = (fields: readonly ConfigField[]): string =>
  [
    '# Configuration file',
    '',
    'The three daemons of a VM read one TOML file. This page is generated from the schema in',
    '`src/adapters/config` with `npm run build && node dist/tools/docs/writeConfigPage.js`. Do not edit it by hand; a test',
    'compares it with the schema.',
    '',
    'An unknown key, a value with a wrong unit and a host name instead of an IP address are errors. A daemon that finds one',
    'prints the file, the path, the value and the expected value, and does not start. Durations are whole numbers of',
    'milliseconds. `vm[]` stands for each `[[vm]]` entry. The settings of teams and zones are not in this file; see',
    '`siskin --help`.',
    '',
    '| field | default | unit and meaning |',
    '|---|---|---|',
    ...fields.map(formatRow),
    '',
    'Constraints that are checked: `renewEveryMs` < `holderLeaseMs`, `renewEveryMs` < `gangSilenceMs`, `gangSilenceMs` <',
    '`taskLeaseMs`, `heartbeatEveryMs` < `peerSilenceMs`, `remoteHeartbeatEveryMs` < `peerSilenceMs`; the four `listen` ports',
    'differ; no two `[[vm]]` entries share an id; an entry for this VM itself has the same zone and ports as this VM.',
    '',
  ].join('\n');
