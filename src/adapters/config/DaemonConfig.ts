import type { z } from 'zod';
import type { configSchema } from './configSchema.js';

/** Validated configuration of the daemons of one VM, with the mesh secret read from its file. */
export type DaemonConfig = Omit<z.output<typeof configSchema>, 'meshSecret' | 'meshSecretFile'> & {
  meshSecret: string;
};
