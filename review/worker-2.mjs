// Stand-in of a worker, as PROTOCOL.md describes it: it starts, stops and lists runs, and everything that
// runs on it ends when its lease expires.
/* eslint-disable no-param-reassign -- the state of a life is updated in place. */
import http from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';

const maxHoldMs = 6000;
const stopMs = 50;
const listedEnds = 500;
const fullPercent = 100;

const readJson = (request) =>
  new Promise((resolve) => {
    let text = '';
    request.on('data', (chunk) => {
      text += chunk;
    });
    request.on('end', () => {
      try {
        resolve(JSON.parse(text));
      } catch {
        resolve(null);
      }
    });
  });

const createLife = () => ({
  born: Date.now(),
  bootAt: performance.now(),
  highestToken: 0,
  leaseEnd: 0,
  runs: new Map(),
  ends: [],
  lastNumber: 0,
  lastEndedRun: new Map(),
  holds: [],
  leaseTimer: null,
});

/**
 * Starts a worker on a free loopback port. `behave(task, spec)` tells what a run does: `ms` until it ends and
 * `how` it ends (`done`, `failed`), or `ms` infinite; `saves` whether it writes checkpoints.
 */
const startWorker = async ({ id, behave, observe }) => {
  let life = createLife();
  const sockets = new Set();

  const clockOf = (owner) => Math.floor(performance.now() - owner.bootAt);

  const answer = (response, status, body) => {
    if (response.destroyed) return;
    const text = JSON.stringify(body);
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(text);
  };

  const saved = (run) =>
    run.saves ? Math.floor(performance.now()).toString(16).padStart(16, '0') : '';

  const list = (owner) => ({
    clock_ms: clockOf(owner),
    born: owner.born,
    running: [...owner.runs.values()].map((run) => {
      const share = Number.isFinite(run.ms) ? (performance.now() - run.startedAt) / run.ms : 1;
      const percent = Math.min(fullPercent, Math.floor(share * fullPercent));
      return [run.task, run.run, saved(run), percent];
    }),
    finished: owner.ends.slice(0, listedEnds),
  });

  const answerHolds = (owner) => {
    const due = owner.holds.filter(({ lastSeen }) => owner.lastNumber > lastSeen);
    owner.holds = owner.holds.filter((hold) => !due.includes(hold));
    due.forEach(({ response }) => answer(response, 200, list(owner)));
  };

  const endRun = (owner, run, how) => {
    if (owner.runs.get(run.task) !== run) return;
    owner.runs.delete(run.task);
    clearTimeout(run.timer);
    owner.lastNumber += 1;
    owner.ends.push([owner.lastNumber, run.task, run.run, how, saved(run)]);
    owner.lastEndedRun.set(run.task, Math.max(run.run, owner.lastEndedRun.get(run.task) ?? 0));
    observe('end', { worker: id, born: owner.born, task: run.task, run: run.run, how });
    answerHolds(owner);
  };

  const lapse = (owner) => {
    if (clockOf(owner) < owner.leaseEnd) {
      // eslint-disable-next-line no-use-before-define -- the two call one another.
      armLease(owner);
      return;
    }
    [...owner.runs.values()].forEach((run) => endRun(owner, run, 'lapsed'));
  };
  const armLease = (owner) => {
    clearTimeout(owner.leaseTimer);
    owner.leaseTimer = setTimeout(() => lapse(owner), owner.leaseEnd - clockOf(owner) + 1);
  };
  const extendLease = (owner, untilMs) => {
    if (untilMs === undefined) return;
    const end = Math.min(untilMs, clockOf(owner) + maxHoldMs);
    if (end <= owner.leaseEnd) return;
    owner.leaseEnd = end;
    armLease(owner);
  };

  const start = (owner, body, response) => {
    const { task, run, spec } = body;
    const clock = clockOf(owner);
    const current = owner.runs.get(task);
    if (body.until_ms <= clock) {
      answer(response, 409, { clock_ms: clock, reason: 'late' });
      return;
    }
    extendLease(owner, body.until_ms);
    const isOld = (owner.lastEndedRun.get(task) ?? 0) >= run || (current && current.run !== run);
    if (isOld) {
      answer(response, 409, { clock_ms: clock, reason: 'old' });
      return;
    }
    if (!current) {
      const { ms, how, saves } = behave(task, spec);
      const started = { task, run, ms, saves, startedAt: performance.now(), timer: null };
      owner.runs.set(task, started);
      if (Number.isFinite(ms)) {
        started.timer = setTimeout(() => endRun(owner, started, how), ms);
      }
      observe('start', { worker: id, born: owner.born, task, run, token: body.fencing_token });
    }
    answer(response, 200, { clock_ms: clock });
  };

  const stop = (owner, { task, run }, response) => {
    const current = owner.runs.get(task);
    owner.lastEndedRun.set(task, Math.max(run, owner.lastEndedRun.get(task) ?? 0));
    answer(response, 200, { clock_ms: clockOf(owner) });
    if (current && current.run <= run) {
      setTimeout(() => endRun(owner, current, 'stopped'), stopMs);
    }
  };

  const hold = (owner, body, response) => {
    extendLease(owner, body.until_ms);
    const lastSeen = body.last_seen;
    owner.ends = owner.ends.filter(([number]) => number > lastSeen);
    if (owner.ends.length > 0 || !body.wait_ms) {
      answer(response, 200, list(owner));
      return;
    }
    const pending = { response, lastSeen: owner.lastNumber };
    owner.holds.push(pending);
    setTimeout(() => {
      if (!owner.holds.includes(pending)) return;
      owner.holds = owner.holds.filter((other) => other !== pending);
      answer(response, 200, list(owner));
    }, body.wait_ms);
  };

  let lateStartMs = 0;
  /** Leaves a start unanswered and carries it out late, in whatever life the worker has by then. */
  const delayStart = (body) => {
    const delayMs = lateStartMs;
    lateStartMs = 0;
    observe('start arrives late', { worker: id, task: body.task, run: body.run, delayMs });
    setTimeout(() => {
      const owner = life;
      const isFenced = body.fencing_token < owner.highestToken;
      observe('late start', { worker: id, born: owner.born, isFenced, token: body.fencing_token });
      if (isFenced) return;
      owner.highestToken = body.fencing_token;
      start(owner, body, { destroyed: true });
    }, delayMs);
  };

  const handlers = { '/-/run-start': start, '/-/run-stop': stop, '/-/hold': hold };
  const serve = async (request, response) => {
    const owner = life;
    const body = await readJson(request);
    if (owner !== life) return;
    if (body === null) {
      answer(response, 400, {});
      return;
    }
    if (request.headers['x-expect-instance'] !== id) {
      answer(response, 421, {});
      return;
    }
    if (lateStartMs > 0 && request.url === '/-/run-start') {
      delayStart(body);
      return;
    }
    if (body.fencing_token < owner.highestToken) {
      answer(response, 409, { clock_ms: clockOf(owner), reason: 'fence' });
      return;
    }
    owner.highestToken = body.fencing_token;
    handlers[request.url](owner, body, response);
  };

  const server = http.createServer({ keepAliveTimeout: 0 }, serve);
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  const forget = () => {
    clearTimeout(life.leaseTimer);
    life.runs.forEach(({ timer }) => clearTimeout(timer));
    life.runs.clear();
    sockets.forEach((socket) => socket.destroy());
  };

  return {
    id,
    port: server.address().port,
    getBorn: () => life.born,
    listRuns: () => [...life.runs.values()].map(({ task, run }) => ({ task, run })),
    /** The next start gets no answer and is carried out this much later. */
    delayNextStart: (ms) => {
      lateStartMs = ms;
    },
    /** Crashes the worker and starts it again under the same id; it knows nothing of before. */
    restart: () => {
      forget();
      life = createLife();
      observe('worker starts again', { worker: id, born: life.born });
    },
    close: () => {
      forget();
      server.close();
    },
  };
};

export default startWorker;
