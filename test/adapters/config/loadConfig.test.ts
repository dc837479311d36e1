import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { expect, test } from '@jest/globals';
import type { DaemonConfig } from '../../../src/adapters/config/DaemonConfig.js';
import { findMeshAddress } from '../../../src/adapters/config/findMeshAddress.js';
import { formatConfigError } from '../../../src/adapters/config/formatConfigError.js';
import { loadConfig } from '../../../src/adapters/config/loadConfig.js';

const text = `vmId = "vm-1"
zone = "zone-a"
meshSecretFile = "secret"
rootTokenHash = "${'0a'.repeat(32)}"
[listen]
host = "0.0.0.0"
[log]
url = "http://127.0.0.1:9001"
[vmList]
url = "http://127.0.0.1:9002"
[[vm]]
id = "vm-2"
zone = "zone-b"
host = "10.0.0.2"
gatewayPort = 1
schedulerPort = 2
recorderPort = 3
`;

const loadValidConfig = (file: string): DaemonConfig =>
  loadConfig(file).match(
    (config) => config,
    (error) => {
      throw new Error(formatConfigError(error));
    },
  );

const getErrorType = (file: string): string =>
  loadConfig(file).match(
    () => 'accepted',
    (error) => error.type,
  );

const writeConfig = (secret: string): string => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'siskin-config-'));
  fs.writeFileSync(path.join(folder, 'secret'), secret);
  fs.writeFileSync(path.join(folder, 'siskin.toml'), text);
  return path.join(folder, 'siskin.toml');
};

// Guards against a secret that differs between VMs by a trailing line break.
test('mesh secret is read relative to the file, without line break', () => {
  const config = loadValidConfig(writeConfig('sixteen-characters\n'));
  expect(config.meshSecret).toBe('sixteen-characters');
});

// Guards against an empty secret file, which would open the mesh to everyone.
test('empty secret file is refused', () => {
  expect(getErrorType(writeConfig('\n'))).toBe('invalidValues');
});

// Guards against a missing file that ends the daemon with an exception instead of a message.
test('missing file is an error value', () => {
  expect(getErrorType('/nonexistent/siskin.toml')).toBe('unreadable');
});

// Guards against dialing another daemon of the peer, and against dialing 0.0.0.0.
test('mesh address follows the role', () => {
  const config = loadValidConfig(writeConfig('sixteen-characters'));
  expect(findMeshAddress(config, 'vm-2/scheduler')).toEqual({ host: '10.0.0.2', port: 2 });
  expect(findMeshAddress(config, 'vm-1/recorder')).toEqual({ host: '127.0.0.1', port: 7103 });
  expect(findMeshAddress(config, 'vm-9/recorder')).toBeUndefined();
});
