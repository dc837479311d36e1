import net from 'node:net';
import { z } from 'zod';

/** IP address; a daemon must start and find its peers without DNS, so host names are rejected. */
export const ipAddressSchema = z
  .string()
  .refine(
    (text) => net.isIP(text) !== 0,
    'expected an IP address such as "10.0.0.7" or "::1"; host names are not allowed',
  );
