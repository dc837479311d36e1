import { z } from 'zod';

const zoneSchema = z.looseObject({
  vmId: z.string(),
  lead: z.boolean(),
  registeredWorkers: z.number(),
  heldWorkers: z.number(),
  settingsVersion: z.number(),
  queuedRequests: z.number(),
  openGrants: z.number(),
  keysRefusedForMs: z.number(),
  jobs: z.record(z.string(), z.number()),
  unplacedGuarantees: z.array(
    z.looseObject({ workspace: z.string(), shape: z.number(), sinceWall: z.number() }),
  ),
  peers: z.array(z.looseObject({ node: z.string(), linked: z.boolean(), heardMsAgo: z.number() })),
});

/** Schema of the response to `GET /v1/status`: one scheduler's view of each zone. */
export const statusSchema = z.looseObject({ zones: z.record(z.string(), zoneSchema) });
