// Writes docs/operate/settings.md from the schema of the configuration file.
import fs from 'node:fs';
import { formatConfigPage } from '../../src/adapters/config/formatConfigPage.js';
import { listConfigFields } from '../../src/adapters/config/listConfigFields.js';

fs.writeFileSync('docs/operate/settings.md', formatConfigPage(listConfigFields()));
