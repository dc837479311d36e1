import type { TimingBounds } from '../TimingBounds.js';
import type { HandlerTable } from '../HandlerTable.js';

/** Merges new bounds; the lease bound never shrinks, because workers may hold leases of the old length. */
const mergeBounds = (current: TimingBounds, next: TimingBounds): TimingBounds => ({
  ...next,
  maxLeaseMs: Math.max(current.maxLeaseMs, next.maxLeaseMs),
});

/** Apply settings that change while the daemon runs. */
export const settingsHandlers: HandlerTable = {
  settingsChanged: (state, { settings }) => {
    state.self.cores = settings.cores;
    state.bounds = mergeBounds(state.bounds, settings.bounds);
    state.storeLimits = settings.storeLimits;
    const fields = { cores: settings.cores, ...state.bounds, ...state.storeLimits };
    return [{ type: 'log', level: 'info', code: 'settings_applied', fields }];
  },
};
