import { expect, test } from '@jest/globals';
import { defaultTiming } from '../../../src/core/defaultTiming.js';
import { formatConfigError } from '../../../src/adapters/config/formatConfigError.js';
import { parseConfig } from '../../../src/adapters/config/parseConfig.js';

const header = `vmId = "vm-1"\nzone = "zone-a"\nrootTokenHash = "${'0a'.repeat(32)}"\n`;
const secret = 'meshSecret = "sixteen-characters"\n';
const services = '[log]\nurl = "http://127.0.0.1:9001"\n[vmList]\nurl = "http://[::1]:9002"\n';
const vm =
  '[[vm]]\nid = "vm-2"\nzone = "zone-b"\nhost = "10.0.0.2"\ngatewayPort = 1\nschedulerPort = 2\nrecorderPort = 3\n';

const describeFailure = (text: string): string =>
  parseConfig('siskin.toml', text).match(() => 'accepted', formatConfigError);

// Guards against defaults that differ between the schema and the core.
test('minimal file gets the default timing and ports', () => {
  const config = parseConfig('siskin.toml', header + secret + services + vm).unwrapOr(undefined);
  expect(config?.timing).toEqual(defaultTiming);
  expect(config?.listen.schedulerPort).toBe(7102);
  expect(config?.vm[0]?.recorderPort).toBe(3);
});

// Each row guards against a mistake that is accepted, or reported without the field, its value or
// the expected value.
test.each([
  [
    'unit',
    `${header}${secret}${services}[timing]\ncheckpointMs = "5s"\n`,
    'timing.checkpointMs = "5s": expected a whole number of milliseconds greater than 0, without quotes or unit: 5000',
  ],
  [
    'unknown key',
    `${header}${secret}${services}[listen]\nhtppPort = 1\n`,
    'listen.htppPort = 1: unknown key; expected one of host, httpPort',
  ],
  [
    'unknown vm key',
    `${header}${secret}${services}${vm}port = 4\n`,
    'vm.0.port = 4: unknown key; expected one of id, zone, host',
  ],
  [
    'host name',
    `${header}${secret}${services}${vm.replace('10.0.0.2', 'db.internal')}`,
    'vm.0.host = "db.internal": expected an IP address',
  ],
  [
    'URL by name',
    header + secret + services.replace('127.0.0.1', 'localhost'),
    'log.url = "http://localhost:9001": expected a base URL with an IP address',
  ],
  [
    'port range',
    `${header}${secret}${services}[statsd]\nport = 70000\n`,
    'statsd.port = 70000: expected a port number',
  ],
  ['no secret', header + services, 'meshSecret = (not set): expected exactly one of'],
  ['missing key', secret + services, 'vmId = (not set): expected: Name; id of this VM'],
  [
    'shared port',
    `${header}${secret}${services}[listen]\nhttpPort = 7101\n`,
    'listen.gatewayPort = (not set): expected a port other than that of httpPort',
  ],
  [
    'lease order',
    `${header}${secret}${services}[timing]\nrenewEveryMs = 3000\n`,
    'timing.renewEveryMs = 3000: expected less than holderLeaseMs (3000)',
  ],
  [
    'own entry',
    header + secret + services + vm.replace('vm-2', 'vm-1'),
    'vm.0.zone = "zone-b": expected zone-a',
  ],
  ['syntax', 'vmId = \n', 'siskin.toml:1:'],
])('refused with field, value and expected value: %s', (_name, text, expected) => {
  expect(describeFailure(text)).toContain(expected);
});

// Guards against a secret in the error message of its own field, which ends up in logs.
test('invalid secret is not printed', () => {
  expect(describeFailure(`${header}meshSecret = "short"\n${services}`)).toContain(
    'meshSecret = (hidden): expected at least 16 characters',
  );
});
