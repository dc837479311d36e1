import { z } from 'zod';
import { nameSchema } from '../../core/settings/nameSchema.js';
import { ipAddressSchema } from './ipAddressSchema.js';
import { ipUrlSchema } from './ipUrlSchema.js';
import { listenSchema } from './listenSchema.js';
import { portSchema } from './portSchema.js';
import { timingSchema } from './timingSchema.js';
import { vmSchema } from './vmSchema.js';

const secretMessage = 'expected at least 16 characters';

/** Configuration file of the daemons of one VM. */
export const configSchema = z
  .strictObject({
    vmId: nameSchema.describe('Name; id of this VM, unique in the mesh.'),
    zone: nameSchema.describe('Name; availability zone of this VM.'),
    meshSecret: z
      .string()
      .min(16, secretMessage)
      .optional()
      .describe('String; secret shared by all daemons. Exactly one of this and `meshSecretFile`.'),
    meshSecretFile: z
      .string()
      .min(1, 'expected the path of a file')
      .optional()
      .describe('Path; file with the mesh secret, relative to the configuration file.'),
    rootTokenHash: z
      .string()
      .regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 hash: 64 lower-case hexadecimal digits')
      .describe('Hexadecimal; SHA-256 hash of the root token.'),
    logLevel: z
      .enum(['debug', 'info', 'warn', 'error'], 'expected "debug", "info", "warn" or "error"')
      .default('info')
      .describe('Level; log lines below it are not written.'),
    listen: listenSchema.prefault({}).describe('Addresses on which the daemons of this VM listen.'),
    log: z
      .strictObject({
        url: ipUrlSchema.describe('URL with an IP address; base URL of the log service.'),
      })
      .describe("The platform's log service."),
    vmList: z
      .strictObject({
        url: ipUrlSchema.describe('URL with an IP address; base URL of the list of VMs.'),
      })
      .describe("The platform's list of live and leaving VMs."),
    statsd: z
      .strictObject({
        host: ipAddressSchema.default('127.0.0.1').describe('IP address; receiver of the metrics.'),
        port: portSchema.default(8125).describe('Port; UDP port of the receiver.'),
      })
      .prefault({})
      .describe('Receiver of metrics in the StatsD format.'),
    timing: timingSchema
      .prefault({})
      .describe('Durations that decisions depend on; must be the same on every VM.'),
    vm: z
      .array(vmSchema)
      .default([])
      .describe('Entry VMs of the mesh; the entry of this VM itself may be present.'),
  })
  .superRefine((config, context) => {
    if ((config.meshSecret === undefined) === (config.meshSecretFile === undefined)) {
      context.addIssue({
        code: 'custom',
        path: ['meshSecret'],
        message: 'expected exactly one of meshSecret and meshSecretFile',
      });
    }
    config.vm.forEach((vm, index) => {
      if (config.vm.findIndex(({ id }) => id === vm.id) === index) return;
      context.addIssue({
        code: 'custom',
        path: ['vm', index, 'id'],
        message: 'expected an id that no other entry has',
      });
    });
    const ownIndex = config.vm.findIndex(({ id }) => id === config.vmId);
    const ownKeys = ['zone', 'gatewayPort', 'schedulerPort', 'recorderPort'] as const;
    ownKeys.forEach((key) => {
      const expected = key === 'zone' ? config.zone : config.listen[key];
      if (ownIndex < 0 || config.vm[ownIndex]?.[key] === expected) return;
      context.addIssue({
        code: 'custom',
        path: ['vm', ownIndex, key],
        message: `expected ${expected}, as set for this VM itself`,
      });
    });
  });
