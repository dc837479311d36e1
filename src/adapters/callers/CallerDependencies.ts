import type { RefusalReason } from '../../core/RefusalReason.js';
import type { UntimedEvent } from '../../core/UntimedEvent.js';
import type { CallerTable } from './CallerTable.js';

/** What the routes of short requests need from the gateway. */
export interface CallerDependencies {
  table: CallerTable;
  push: (event: UntimedEvent) => void;
  countRefusal: (reason: RefusalReason) => void;
}
