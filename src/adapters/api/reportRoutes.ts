import { ok } from 'neverthrow';
import { z } from 'zod';
import type { ApiRoute } from './ApiRoute.js';
import { validateInput } from './validateInput.js';

const timeMessage = 'expected a UTC time such as 2030-01-31T00:00:00Z';

/** ISO 8601 time, transformed to epoch milliseconds. */
const timeSchema = z.iso
  .datetime({ offset: true, error: timeMessage })
  .transform((text) => Date.parse(text));

const periodSchema = z
  .object({ from: timeSchema, to: timeSchema })
  .refine(({ from, to }) => from < to, { path: ['to'], message: 'expected a time after "from"' });

/** Routes of status and usage. */
export const reportRoutes: readonly ApiRoute[] = [
  {
    method: 'GET',
    path: '/v1/status',
    successStatus: 200,
    hasBody: false,
    toCommand: () => ok({ kind: 'showStatus' }),
  },
  {
    method: 'GET',
    path: '/v1/workspaces/:ws/usage',
    successStatus: 200,
    hasBody: false,
    toCommand: ({ params: { ws: workspace = '' }, query }) =>
      validateInput(periodSchema, query, 'query').map(({ from: fromWall, to: toWall }) => ({
        kind: 'reportUsage',
        workspace,
        fromWall,
        toWall,
      })),
  },
];
