import { z } from 'zod';

const message = 'expected a port number from 1 to 65535, without quotes';

/** TCP or UDP port. */
export const portSchema = z.int(message).min(1, message).max(65_535, message);
