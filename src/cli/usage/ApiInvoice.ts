import type { z } from 'zod';
import type { invoiceSchema } from './invoiceSchema.js';

/** Usage of a workspace in a period as the recorder reports it. */
export type ApiInvoice = z.output<typeof invoiceSchema>;
