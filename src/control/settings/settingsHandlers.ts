import type { TimingBounds } from '../TimingBounds.js';
import type { HandlerTable } from '../HandlerTable.js';

/** Workers may still hold leases of the former length, so a bound on them never becomes shorter. */
const mergeBounds = (current: TimingBounds, next: TimingBounds): TimingBounds => ({
  ...next,
  maxLeaseMs: Math.max(current.maxLeaseMs, next.maxLeaseMs),
});

/** Puts settings in force that changed while the daemon runs. */
export const settingsHandlers: HandlerTable = {
  settingsChanged: (state, { settings }) => {
    state.self.cores = settings.cores;
    state.bounds = mergeBounds(state.bounds, settings.bounds);
    const fields = { cores: settings.cores, ...state.bounds };
    return [{ type: 'log', level: 'info', code: 'settings_applied', fields }];
  },
};
