// Starts a small deployment for a case: the project's daemon with the command of the deploy file, beside
// stand-ins of the platform's store, the workers, the operator and the clients, all on loopback.
/* eslint-disable import-x/extensions -- Node needs the extension. */
/* eslint-disable no-param-reassign -- a machine's process changes in place. */
import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { fileURLToPath, URL } from 'node:url';
import startStore from './store-2.mjs';
import startWorker from './worker-2.mjs';

const root = fileURLToPath(new URL('../', import.meta.url));
const restartDelayMs = 500;
const defaultDeadlineMs = 3000;
const submitAttempts = 10;
const host = 'jobs.example';
const defaultKey = 'key-1';
/** Key of a second tenant, which has no guarantee. */
export const otherKey = 'key-2';

export const waitMs = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Processes that were started and still run. */
const children = new Set();

/** The command of the deploy file, with another port for the metrics of each process. */
const readCommand = (metricsPort) => {
  const text = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
  const [, command] = /^run = "(.*)"$/m.exec(text);
  const [program, ...args] = command.split(' ');
  args[args.indexOf('--metrics-port') + 1] = String(metricsPort);
  return { program, args };
};

const findFreePort = () =>
  new Promise((resolve) => {
    const server = net.createServer();
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });

const formatSettings = ({ id, front, readiness, storePort }) => `node_id = "${id}"
role = "siskin-node"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
bootstrap = true
heartbeat_ms = 1500
orders = "call"
contracts = ["base","drain","config","cost","recover","sched","tenants","platform","advice","upkeep","sharing"]
[zones]
zone-a = "region-a"
[listen]
frontend = "127.0.0.1:${front}"
readiness = "127.0.0.1:${readiness}"
[limits]
cpu_share = 0.675
cpu_cores = 1
memory_mb = 350
max_fds = 4100
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
max_hold_ms = 6000
stop_timeout_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
reclaim_ms = 2700
[platform]
address = "127.0.0.1:${storePort}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 24
append_ms = 1.0
partition_mb_s = 20.0
read_mb_s = 80.0
max_record_bytes = 262144
max_call_bytes = 2097152
keep_s = 20
partition_mb = 200
min_ttl_ms = 1000
`;

const parseBody = (text) => {
  try {
    return JSON.parse(text);
  } catch {
    return {};
  }
};

/** One call of a client; `status` is 0 if it got no answer. */
const call = (port, method, target, body, deadlineMs, apiKey = defaultKey) =>
  new Promise((resolve) => {
    const bytes = body === null ? Buffer.alloc(0) : Buffer.from(JSON.stringify(body));
    const request = http.request({
      host: '127.0.0.1',
      port,
      method,
      path: target,
      agent: false,
      headers: {
        host,
        'api-key': apiKey,
        'content-type': 'application/json',
        'content-length': bytes.length,
        'x-request-deadline': String(deadlineMs),
      },
    });
    const fail = () => {
      request.destroy();
      resolve({ status: 0, body: {} });
    };
    const timer = setTimeout(fail, deadlineMs);
    request.on('error', fail);
    request.on('response', (response) => {
      let text = '';
      response.on('data', (chunk) => {
        text += chunk;
      });
      response.on('end', () => {
        clearTimeout(timer);
        resolve({
          status: response.statusCode,
          body: parseBody(text),
          retryAfterMs: Number(response.headers['retry-after'] ?? 0) * 1000,
        });
      });
    });
    request.end(bytes);
  });

/** Starts the deployment; `folder` gets `record.txt`. */
export const startDeployment = async ({ folder, vms, workers, config, behave }) => {
  const startedAt = performance.now();
  const lines = [];
  const recordFile = path.join(folder, 'record.txt');
  fs.writeFileSync(recordFile, '');
  const flush = () => {
    if (lines.length > 0) fs.appendFileSync(recordFile, `${lines.splice(0).join('\n')}\n`);
  };
  const elapsedMs = () => Math.round(performance.now() - startedAt);
  const record = (what, fields = {}) => {
    lines.push(`${(elapsedMs() / 1000).toFixed(3)} ${what} ${JSON.stringify(fields)}`);
  };
  const flushTimer = setInterval(flush, 500);
  const temporary = fs.mkdtempSync(path.join(os.tmpdir(), 'siskin-case-'));
  const store = await startStore(record);
  const observers = [];
  const observe = (what, fields) => observers.forEach((observer) => observer(what, fields));

  store.put('keyed.op', 'config', config);
  const startedWorkers = await Promise.all(
    workers.map(({ id }) => startWorker({ id, behave, observe })),
  );
  /** Writes the entry of a worker, as it does at its start and whenever the entry changes. */
  const publishWorker = (worker, entry) =>
    store.put('keyed.servers', worker.id, {
      service: 'svc',
      address: `127.0.0.1:${worker.port}`,
      zone: 'zone-a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      ...entry,
      born: worker.getBorn(),
      seq_no: 1,
    });
  startedWorkers.forEach((worker, index) => publishWorker(worker, workers[index].entry));

  const ends = [];
  let isClosing = false;
  const startProcess = (vm) => {
    const { program, args } = readCommand(vm.metricsPort);
    const child = spawn(program, args, {
      cwd: root,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: 'C.UTF-8',
        SISKINHOLLOW_BOOT: vm.settingsFile,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    vm.child = child;
    children.add(child);
    const log = fs.createWriteStream(path.join(temporary, `${vm.id}.log`), { flags: 'a' });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    record('process starts', { vm: vm.id, pid: child.pid });
    child.on('exit', (code, signal) => {
      record('process ends', { vm: vm.id, code, signal });
      vm.child = null;
      children.delete(child);
      if (isClosing) return;
      if (!vm.isStopped) ends.push({ vm: vm.id, code, signal, at: elapsedMs() });
      // The platform restarts a process that has ended.
      setTimeout(() => {
        if (!isClosing) startProcess(vm);
      }, restartDelayMs);
    });
  };
  const startedVms = [];
  for (let index = 0; index < vms; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- one port after the other.
    const ports = [await findFreePort(), await findFreePort(), await findFreePort()];
    const [front, readiness, metricsPort] = ports;
    const id = `edge-${index + 1}`;
    const settingsFile = path.join(temporary, `${id}.toml`);
    fs.writeFileSync(settingsFile, formatSettings({ id, front, readiness, storePort: store.port }));
    const vm = { id, front, readiness, metricsPort, settingsFile, child: null, isStopped: false };
    startedVms.push(vm);
    startProcess(vm);
  }

  const isReady = async ({ readiness }) =>
    (await call(readiness, 'GET', '/-/ready', null, 500)).status === 200;
  const waitUntilReady = async () => {
    for (let attempt = 0; attempt < 100; attempt += 1) {
      // eslint-disable-next-line no-await-in-loop -- polls until all are ready.
      const ready = await Promise.all(startedVms.map(isReady));
      if (ready.every(Boolean)) return true;
      // eslint-disable-next-line no-await-in-loop -- a pause between the polls.
      await waitMs(100);
    }
    return false;
  };

  let lastFront = 0;
  const request = async (method, target, body = null, apiKey = defaultKey) => {
    lastFront += 1;
    const vm = startedVms[lastFront % startedVms.length];
    const answer = await call(vm.front, method, target, body, defaultDeadlineMs, apiKey);
    record(`client ${method} ${target}`, { vm: vm.id, status: answer.status, ...answer.body });
    return answer;
  };
  /** Hands a job in; without an answer it is sent again with the same id, after a refusal too. */
  const submit = async (target, job, apiKey = defaultKey) => {
    for (let attempt = 0; attempt < submitAttempts; attempt += 1) {
      // eslint-disable-next-line no-await-in-loop -- one attempt after the other.
      const answer = await request('POST', target, job, apiKey);
      if (answer.status >= 200 && answer.status < 300) return true;
      // eslint-disable-next-line no-await-in-loop -- as long as the answer asks for.
      await waitMs(Math.max(200, answer.retryAfterMs ?? 0));
    }
    return false;
  };

  const close = async () => {
    isClosing = true;
    startedVms.forEach(({ child }) => child?.kill('SIGKILL'));
    await waitMs(200);
    startedWorkers.forEach((worker) => worker.close());
    store.close();
    clearInterval(flushTimer);
    flush();
    if (process.env.KEEP_LOGS) process.stderr.write(`${temporary}\n`);
    else fs.rmSync(temporary, { recursive: true, force: true });
  };

  return {
    store,
    workers: startedWorkers,
    vms: startedVms,
    /** Processes that ended by themselves. */
    ends,
    record,
    elapsedMs,
    publishWorker,
    onObserved: (observer) => observers.push(observer),
    waitUntilReady,
    request,
    submit,
    close,
  };
};

/** A configuration of one service with an urgent and a batch queue. */
export const buildConfig = ({ guaranteedGpu = 0, maxAttempts = 3 } = {}) => ({
  version: 1,
  routes: [
    { name: 'urgent', path_prefix: '/u/', priority: 0, stretch: 1.5, target_latency_ms: 250 },
    { name: 'batch', path_prefix: '/b/', priority: 1, stretch: 3, target_latency_ms: 1000 },
  ].map((route) => ({
    ...route,
    host,
    type: 'unsafe',
    timeout_ms: 3000,
    service: 'svc',
    max_attempts: maxAttempts,
    public: false,
  })),
  services: [{ name: 'svc', health_path: '/healthz', enforces_capacity: false }],
  limits: {},
  tenants: [
    { name: 'tenant-1', api_keys: [defaultKey], guaranteed: { gpu: guaranteedGpu } },
    { name: 'tenant-2', api_keys: [otherKey], guaranteed: { gpu: 0 } },
  ],
});

/** Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. */
export const runCase = async (play) => {
  const giveUp = (reason) => {
    process.stderr.write(`${reason}\n`);
    children.forEach((child) => child.kill('SIGKILL'));
    process.exit(2);
  };
  const limit = setTimeout(() => giveUp('the case took too long'), 118_000);
  process.on('SIGTERM', () => giveUp('the case was stopped'));
  process.on('uncaughtException', (error) => giveUp(error.stack));
  let code = 2;
  try {
    code = await play({ hasTrouble: process.env.TROUBLE !== '0' });
  } catch (error) {
    process.stderr.write(`${error.stack}\n`);
  }
  clearTimeout(limit);
  process.exit(code);
};
