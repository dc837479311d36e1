import { z } from 'zod';
import { nameSchema } from '../../core/settings/nameSchema.js';
import { ipAddressSchema } from './ipAddressSchema.js';
import { portSchema } from './portSchema.js';

/** One entry VM of the mesh. */
export const vmSchema = z.strictObject({
  id: nameSchema.describe('Name; id of the VM, the same as its own `vmId`.'),
  zone: nameSchema.describe('Name; availability zone of the VM.'),
  host: ipAddressSchema.describe('IP address; where peers reach the daemons of the VM.'),
  gatewayPort: portSchema.describe('Port; mesh port of the gateway.'),
  schedulerPort: portSchema.describe('Port; mesh port of the scheduler.'),
  recorderPort: portSchema.describe('Port; mesh port of the recorder.'),
});
