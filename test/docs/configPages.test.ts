import fs from 'node:fs';
import { expect, test } from '@jest/globals';
import { formatConfigError } from '../../src/adapters/config/formatConfigError.js';
import { formatConfigPage } from '../../src/adapters/config/formatConfigPage.js';
import { listConfigFields } from '../../src/adapters/config/listConfigFields.js';
import { parseConfig } from '../../src/adapters/config/parseConfig.js';
import { exitCodes } from '../../src/cli/exitCodes.js';

const installPage = fs.readFileSync('docs/operate/install.md', 'utf8');

// Guards against a page that no longer describes the schema.
test('settings page is generated from the schema', () => {
  const page = fs.readFileSync('docs/operate/settings.md', 'utf8');
  expect(page).toBe(formatConfigPage(listConfigFields()));
});

// Guards against a field without a unit or a description.
test('every field is described with its unit', () => {
  const units =
    /^(?:Name|String|Path|Hexadecimal|Level|IP address|Port|URL with an IP address|Milliseconds)\b/;
  const withoutUnit = listConfigFields().filter(({ description }) => !units.test(description));
  expect(withoutUnit).toEqual([]);
});

// Guards against an example that the daemons reject.
test('example configuration is valid', () => {
  const [, text = ''] = /<!-- example -->\n```toml\n([\s\S]*?)```/.exec(installPage) ?? [];
  expect(parseConfig('siskin.toml', text).match(() => 'valid', formatConfigError)).toBe('valid');
});

// Guards against documented exit codes that differ from the real ones.
test('exit codes match the page', () => {
  const rows = Object.values(exitCodes).map(({ code, meaning }) => `| ${code} | ${meaning} |`);
  expect(installPage).toContain(rows.join('\n'));
});
