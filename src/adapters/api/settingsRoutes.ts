import { randomUUID } from 'node:crypto';
import { ok } from 'neverthrow';
import { z } from 'zod';
import type { Command } from '../../core/commands/Command.js';
import type { ApiRoute } from './ApiRoute.js';
import { parseExpectedVersion } from './parseExpectedVersion.js';
import { parseSubtreePath } from './parseSubtreePath.js';
import { validateInput } from './validateInput.js';

const authorMessage = 'expected the name of the operator, 1 to 100 characters';

const authorSchema = z.string(authorMessage).min(1, authorMessage).max(100, authorMessage);

/** Proposed subtree, whose fields the core checks; `null` removes a team. */
const subtreeSchema = z
  .record(z.string(), z.unknown(), 'expected a JSON object, or null to remove a team')
  .nullable();

/** Routes of settings. */
export const settingsRoutes: readonly ApiRoute[] = [
  {
    method: 'GET',
    path: '/v1/settings',
    successStatus: 200,
    hasBody: false,
    toCommand: () => ok({ kind: 'showSettings' }),
  },
  {
    method: 'PUT',
    path: '/v1/settings/:path{.+}',
    successStatus: 200,
    hasBody: true,
    toCommand: ({ params, body, getHeader }) =>
      parseSubtreePath(params.path ?? '').andThen((path) =>
        parseExpectedVersion(getHeader('if-match')).andThen((expectedVersion) =>
          validateInput(authorSchema, getHeader('siskin-author'), 'Siskin-Author').andThen(
            (author) =>
              validateInput(subtreeSchema, body, 'body').map((subtree): Command => ({
                kind: 'proposeSettings',
                proposalId: randomUUID(),
                path,
                expectedVersion,
                subtree,
                author,
              })),
          ),
        ),
      ),
  },
  {
    method: 'GET',
    path: '/v1/settings-history',
    successStatus: 200,
    hasBody: false,
    toCommand: ({ query: { path } }) =>
      path === undefined
        ? ok({ kind: 'listProposals' })
        : parseSubtreePath(path).map((subtreePath) => ({
            kind: 'listProposals',
            path: subtreePath,
          })),
  },
];
