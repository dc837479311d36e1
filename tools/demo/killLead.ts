import { findLead } from '../cluster/findLead.js';
import { killVm } from '../cluster/killVm.js';
import { waitUntil } from '../cluster/waitUntil.js';
import { assertCondition } from './assertCondition.js';
import type { DemoContext } from './DemoContext.js';
import type { DemoStep } from './DemoStep.js';
import { sendBurst } from './sendBurst.js';
import { showJob } from './showJob.js';
import { waitForState } from './waitForState.js';

const takeoverLimitMs = 10_000;

const run = async (context: DemoContext): Promise<void> => {
  const { cluster, httpPort, print } = context;
  const lead = await waitUntil('zone-a has a lead', 5000, () =>
    findLead(cluster, 'zone-a', httpPort),
  );
  const before = await showJob(context, 'labels', 'urgent');
  const vm = cluster.vms.find(({ id }) => id === lead.vmId)!;
  await killVm(vm);
  const killedAt = performance.now();
  print(`killed ${vm.id}, the lead of zone-a, with SIGKILL`);
  const ports = cluster.vms.filter(({ id }) => id !== vm.id).map((other) => other.httpPort);
  const burst = await sendBurst(context, 60, ports);
  print(`burst during the takeover: ${JSON.stringify(burst)}`);
  assertCondition(burst.foreign === 0, 'every answer belongs to its request');
  assertCondition(burst.answered === 60, 'every idempotent request is answered');
  const next = await waitUntil('zone-a has a new lead', takeoverLimitMs, async () => {
    const found = await findLead(cluster, 'zone-a', httpPort);
    return found && found.vmId !== vm.id ? found : undefined;
  });
  print(`${next.vmId} is the lead after ${Math.round(performance.now() - killedAt)} ms at most`);
  const after = await waitForState(context, 'labels', 'urgent', 'running', takeoverLimitMs);
  assertCondition(after.attempt === before?.attempt, 'the gang kept running during the takeover');
  print('the running gang was adopted and not restarted');
};

/** Kills the VM that leads a zone while jobs run. */
export const killLead: DemoStep = { title: 'the lead of a zone is killed', run };
