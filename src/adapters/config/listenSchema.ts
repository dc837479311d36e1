import { z } from 'zod';
import { ipAddressSchema } from './ipAddressSchema.js';
import { portSchema } from './portSchema.js';

/** Addresses on which the daemons of this VM listen. */
export const listenSchema = z
  .strictObject({
    host: ipAddressSchema
      .default('127.0.0.1')
      .describe('IP address; `0.0.0.0` or `::` for all interfaces.'),
    httpPort: portSchema
      .default(8080)
      .describe('Port; HTTP of the gateway, for callers and operators.'),
    gatewayPort: portSchema.default(7101).describe('Port; mesh port of the gateway.'),
    schedulerPort: portSchema.default(7102).describe('Port; mesh port of the scheduler.'),
    recorderPort: portSchema.default(7103).describe('Port; mesh port of the recorder.'),
  })
  .superRefine(({ host, ...ports }, context) => {
    const namesByPort = new Map<number, string>();
    Object.entries(ports).forEach(([name, port]) => {
      const otherName = namesByPort.get(port);
      namesByPort.set(port, name);
      if (!otherName) return;
      context.addIssue({
        code: 'custom',
        path: [name],
        message: `expected a port other than that of ${otherName}`,
      });
    });
  });
