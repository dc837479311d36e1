import { z } from 'zod';

const zoneSchema = z.looseObject({
  vmId: z.string(),
  /** Whether the scheduler of this VM is the lead of the zone. */
  lead: z.boolean(),
  registeredWorkers: z.number(),
  heldWorkers: z.number(),
  /** Version of the settings that apply, -1 if there are none yet. */
  settingsVersion: z.number(),
  queuedRequests: z.number(),
  openGrants: z.number(),
  /** Time for which requests with an idempotency key are still refused; 0 if they are not. */
  keysRefusedForMs: z.number(),
  /** Number of jobs in each state. */
  jobs: z.record(z.string(), z.number()),
  /** Guarantees without a place: `shape` is an index, `sinceWall` epoch milliseconds. */
  unplacedGuarantees: z.array(
    z.looseObject({ workspace: z.string(), shape: z.number(), sinceWall: z.number() }),
  ),
  /** Other daemons, with the time since their last message. */
  peers: z.array(z.looseObject({ node: z.string(), linked: z.boolean(), heardMsAgo: z.number() })),
});

/** Schema of the response to `GET /v1/status`: one scheduler's view of each zone. */
export const statusSchema = z.looseObject({ zones: z.record(z.string(), zoneSchema) });
