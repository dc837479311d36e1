import net from 'node:net';
import { z } from 'zod';

const ipUrlPattern = /^https?:\/\/(?:\[([^\]]+)\]|([^/:]+))(?::(\d{1,5}))?$/;

const isIpUrl = (text: string): boolean => {
  const match = ipUrlPattern.exec(text);
  if (!match) return false;
  const port = Number(match[3] ?? 80);
  return net.isIP(match[1] ?? match[2] ?? '') !== 0 && port >= 1 && port <= 65_535;
};

/** Base URL with an IP address as host, without a path. */
export const ipUrlSchema = z
  .string()
  .refine(
    isIpUrl,
    'expected a base URL with an IP address and without a path, such as "http://10.0.0.7:9001"; host names are not allowed',
  );
