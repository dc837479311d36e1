import { commandsHandlers } from './commands/commandsHandlers.js';
import { guaranteesHandlers } from './guarantees/guaranteesHandlers.js';
import type { HandlerTable } from './HandlerTable.js';
import { jobsHandlers } from './jobs/jobsHandlers.js';
import { membershipHandlers } from './membership/membershipHandlers.js';
import { ownershipHandlers } from './ownership/ownershipHandlers.js';
import { recoveryHandlers } from './recovery/recoveryHandlers.js';
import { replicationHandlers } from './replication/replicationHandlers.js';
import { requestsHandlers } from './requests/requestsHandlers.js';
import { routingHandlers } from './routing/routingHandlers.js';
import { settingsHandlers } from './settings/settingsHandlers.js';
import { usageHandlers } from './usage/usageHandlers.js';

/**
 * Handler tables of all features, in the order in which they process an event. Settings and leases
 * come first, because the other features depend on them.
 */
export const handlerTables: readonly HandlerTable[] = [
  settingsHandlers,
  membershipHandlers,
  ownershipHandlers,
  guaranteesHandlers,
  recoveryHandlers,
  jobsHandlers,
  routingHandlers,
  requestsHandlers,
  usageHandlers,
  commandsHandlers,
  replicationHandlers,
];
