import net from 'node:net';
import { z } from 'zod';

/** IP number; names are refused, because a daemon must start and find its peers without DNS. */
export const ipAddressSchema = z
  .string()
  .refine(
    (text) => net.isIP(text) !== 0,
    'expected an IP number such as "10.0.0.7" or "::1"; host names are refused',
  );
