import { z } from 'zod';
import { defaultTiming } from '../../core/defaultTiming.js';
import type { Timing } from '../../core/Timing.js';
import { durationSchema } from './durationSchema.js';

const descriptions: Readonly<Record<keyof Timing, string>> = {
  holderLeaseMs:
    'time after sending an acknowledged renewal during which a scheduler may act on a worker',
  claimMarginMs: 'extra time without a renewal before another scheduler claims a worker',
  rankDelayMs: 'extra delay of a claim per rank of the scheduler in its zone',
  renewEveryMs: 'interval of worker lease renewals and probes',
  workerCallTimeoutMs: 'time allowed for a control call to a worker',
  taskLeaseMs: 'time after its last renewal at which a task stops by itself',
  gangSilenceMs: 'time without an answer from a worker after which its gangs are stopped',
  gangStartMs: 'time allowed for all parts of a gang to answer a start',
  checkpointMs: 'time allowed for a checkpoint before a reclaimed task is stopped',
  heartbeatEveryMs: 'interval of heartbeats inside the zone',
  remoteHeartbeatEveryMs: 'interval of heartbeats to other zones',
  peerSilenceMs: 'time without a message after which a peer counts as failed',
  grantStartMs: 'time within which a gateway may use a grant',
  keyRetentionMs: 'time for which an idempotency key is remembered',
  aloneAfterMs: 'time after which a lead no longer waits for an unreachable peer of its zone',
  balancerDrainMs: 'time for which a gateway that shuts down still serves new requests',
  shutdownMs: 'time allowed for open requests to finish at shutdown',
  retryWindowMs: 'window over which the retry budget is counted',
  commandTimeoutMs: 'time allowed for the answer to an operator command',
  usageCountMs: 'length of the intervals in which short requests are counted',
  usageResendMs: 'time after which an unacknowledged usage batch is sent again',
  logRetryMs: 'first delay before a failed call to the log is retried',
  logRetentionMs: 'time for which the log keeps records',
  usageBatchMs: 'longest wait of a usage record before its batch is appended',
};

type DurationField = z.ZodDefault<typeof durationSchema>;

const shape = Object.fromEntries(
  Object.entries(descriptions).map(([name, text]) => [
    name,
    durationSchema.default(defaultTiming[name as keyof Timing]).describe(`Milliseconds; ${text}.`),
  ]),
) as Record<keyof Timing, DurationField>;

/** Durations that may be overridden; must be the same on every VM. */
export const timingSchema = z.strictObject(shape).superRefine((timing, context) => {
  // Each pair is [shorter, longer]. If they were equal, the longer one could expire between two
  // renewals or heartbeats.
  const orderedPairs: [keyof Timing, keyof Timing][] = [
    ['renewEveryMs', 'holderLeaseMs'],
    ['renewEveryMs', 'gangSilenceMs'],
    ['gangSilenceMs', 'taskLeaseMs'],
    ['heartbeatEveryMs', 'peerSilenceMs'],
    ['remoteHeartbeatEveryMs', 'peerSilenceMs'],
  ];
  orderedPairs
    .filter(([shorter, longer]) => timing[shorter] >= timing[longer])
    .forEach(([shorter, longer]) =>
      context.addIssue({
        code: 'custom',
        path: [shorter],
        message: `expected less than ${longer} (${timing[longer]})`,
      }),
    );
});
