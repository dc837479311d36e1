import { callApi } from '../cluster/callApi.js';
import type { DemoContext } from './DemoContext.js';

/** Outcomes of a burst of short requests. */
interface BurstResult {
  answered: number;
  refused: number;
  unknown: number;
  /** Number of responses that belong to another request. */
  foreign: number;
  slowestMs: number;
}

const sendBurstRequest = async (
  { cluster }: DemoContext,
  port: number,
  index: number,
  result: BurstResult,
): Promise<void> => {
  const sentAt = performance.now();
  try {
    const { status, data } = await callApi(port, 'GET', `/w/labels/match/${index}`, {
      token: cluster.rootToken,
      headers: { 'x-work-ms': '20', 'siskin-timeout-ms': '15000' },
    });
    const body = data as { path?: string; outcome?: string };
    if (status === 200) {
      result.answered += 1;
      if (body.path !== `/match/${index}`) result.foreign += 1;
    } else if (body.outcome === 'unknown') result.unknown += 1;
    else result.refused += 1;
  } catch {
    result.unknown += 1;
  }
  result.slowestMs = Math.max(result.slowestMs, performance.now() - sentAt);
};

/** Sends idempotent short requests concurrently, distributed over gateways. */
export const sendBurst = async (
  context: DemoContext,
  count: number,
  ports: number[],
): Promise<BurstResult> => {
  const result: BurstResult = { answered: 0, refused: 0, unknown: 0, foreign: 0, slowestMs: 0 };
  await Promise.all(
    Array.from({ length: count }, (_, index) =>
      sendBurstRequest(context, ports[index % ports.length]!, index, result),
    ),
  );
  return result;
};
