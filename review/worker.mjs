// A stand-in of a worker, as PROTOCOL.md describes it: fencing tokens, one lease for all that runs, ends that
// are listed 500 at a time until they are acknowledged. It doesn't guard its capacity.
import { Buffer } from 'node:buffer';
import http from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval } from 'node:timers';

const maxLeaseMs = 6000;
const listedEnds = 500;
const tickMs = 5;
const heartbeatMs = 1500;

/**
 * Starts a worker. `plan` tells for a task and a run how long it runs and how it ends. `entry` is what the
 * worker reports of itself beside its address, state and start.
 */
const startWorker = async ({ id, store, entry, plan, record }) => {
  let sequence = 0;
  let cut = { isFromStore: false, isCallLost: () => false };
  const starts = [];
  const ends = [];

  const life = {
    born: Date.now(),
    bootAt: performance.now(),
    token: 0,
    leaseUntil: 0,
    running: new Map(),
    ended: [],
    lastEnd: 0,
    acknowledged: 0,
    endedRuns: new Map(),
    holds: [],
  };
  const readClock = () => Math.floor(performance.now() - life.bootAt);
  const endRun = (run, how, at) => {
    life.running.delete(run.task);
    life.lastEnd += 1;
    const end = { ...run, n: life.lastEnd, how, endedAt: at, notedAt: null, lapsed: false };
    life.endedRuns.set(run.task, Math.max(run.run, life.endedRuns.get(run.task) ?? 0));
    life.ended.push(end);
    ends.push(end);
    record(`${id}: ${run.task} run ${run.run} ended ${how}, end ${end.n}`);
  };
  const listRuns = () => ({
    clock_ms: readClock(),
    born: life.born,
    running: [...life.running.values()].map(({ task, run, startedAt, durationMs }) => {
      const percent = Math.floor(((performance.now() - startedAt) / durationMs) * 100);
      return [task, run, '', Math.min(100, percent), 0];
    }),
    finished: life.ended
      .slice(0, listedEnds)
      .map(({ n, task, run, how }) => [n, task, run, how, '']),
  });
  const answer = (response, status, body) => {
    const bytes = Buffer.from(JSON.stringify(body));
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': bytes.length,
    });
    response.end(bytes);
  };
  const answerHolds = () => {
    const now = performance.now();
    const due = life.holds.filter(({ dueAt }) => dueAt <= now || life.ended.length > 0);
    life.holds = life.holds.filter((hold) => !due.includes(hold));
    due.forEach(({ response }) => answer(response, 200, listRuns()));
  };
  const endDueRuns = () => {
    const now = performance.now();
    const leaseEndAt = life.bootAt + life.leaseUntil;
    [...life.running.values()]
      .filter(({ dueAt }) => dueAt <= Math.min(now, leaseEndAt))
      .sort((a, b) => a.dueAt - b.dueAt)
      .forEach((run) => endRun(run, run.how, run.dueAt));
    if (leaseEndAt > now) return;
    [...life.running.values()].forEach((run) => endRun(run, 'lapsed', leaseEndAt));
    life.ended.forEach((end) => {
      Object.assign(end, { lapsed: true });
    });
  };
  const tick = () => {
    endDueRuns();
    answerHolds();
  };
  const renew = (untilMs) => {
    const until = Math.min(untilMs, readClock() + maxLeaseMs);
    life.leaseUntil = Math.max(life.leaseUntil, until);
  };

  const start = (response, { task, run, until_ms: untilMs }) => {
    const refuse = (reason) => {
      record(`${id}: start of ${task} run ${run} refused: ${reason}`);
      answer(response, 409, { clock_ms: readClock(), reason });
    };
    if (untilMs < readClock()) return refuse('late');
    const current = life.running.get(task);
    renew(untilMs);
    if ((life.endedRuns.get(task) ?? 0) >= run || (current && current.run > run)) {
      return refuse('old');
    }
    if (!current) {
      const startedAt = performance.now();
      const { durationMs, how } = plan(task, run);
      const begun = { task, run, startedAt, durationMs, dueAt: startedAt + durationMs, how };
      life.running.set(task, begun);
      starts.push({ ...begun, worker: id });
      record(`${id}: ${task} run ${run} started`);
    }
    return answer(response, 200, { clock_ms: readClock() });
  };
  const stop = (response, { task, run }) => {
    const current = life.running.get(task);
    if (current && current.run <= run) endRun(current, 'stopped', performance.now());
    life.endedRuns.set(task, Math.max(run, life.endedRuns.get(task) ?? 0));
    answer(response, 200, { clock_ms: readClock() });
    answerHolds();
  };
  const hold = (response, body) => {
    if (body.until_ms !== undefined) renew(body.until_ms);
    if (body.last_seen > life.acknowledged) {
      life.acknowledged = body.last_seen;
      life.ended
        .filter(({ n }) => n <= body.last_seen)
        .forEach((end) => {
          Object.assign(end, { notedAt: performance.now() });
        });
      life.ended = life.ended.filter(({ n }) => n > body.last_seen);
      record(`${id}: ends up to ${body.last_seen} acknowledged`);
    }
    life.holds.push({ response, dueAt: performance.now() + (body.wait_ms ?? 0) });
    answerHolds();
  };
  const routes = { '/-/run-start': start, '/-/run-stop': stop, '/-/hold': hold };

  const serve = (request, response, text) => {
    const route = routes[request.url];
    if (!route) return answer(response, 404, {});
    if (request.headers['x-expect-instance'] !== id) return answer(response, 421, {});
    endDueRuns();
    const body = JSON.parse(text);
    if (cut.isCallLost(body)) return undefined;
    if ((body.fencing_token ?? 0) < life.token) {
      return answer(response, 409, { clock_ms: readClock(), reason: 'fence' });
    }
    life.token = body.fencing_token ?? 0;
    return route(response, body);
  };
  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      serve(request, response, Buffer.concat(chunks).toString());
    });
    request.on('error', () => undefined);
    response.on('error', () => undefined);
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const beat = () => {
    if (cut.isFromStore) return;
    sequence += 1;
    store.publish('keyed.servers', id, {
      ...entry,
      address: `127.0.0.1:${server.address().port}`,
      state: 'ready',
      born: life.born,
      seq_no: sequence,
    });
  };
  beat();
  const timers = [setInterval(tick, tickMs), setInterval(beat, heartbeatMs)];
  return {
    id,
    /** All starts and all ends, oldest first. */
    starts,
    ends,
    countRunning: () => life.running.size,
    /**
     * Sets what a partition keeps from the worker: calls, which then are neither carried out nor answered, and its
     * own heartbeats.
     */
    setCut: (value) => {
      cut = value;
    },
    close: () => {
      timers.forEach(clearInterval);
      server.closeAllConnections();
      server.close();
    },
  };
};

export default startWorker;
