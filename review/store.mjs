// A stand-in of the platform's store, as PROTOCOL.md describes it: keyed topics of one partition, appends
// with their conditions, reads that wait, pages of the newest records.
import { Buffer } from 'node:buffer';
import http from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval } from 'node:timers';
import { URL } from 'node:url';

const headerBytes = 16;
const pageItems = 500;
const pageBytes = 1_000_000;
const operatorTopics = ['keyed.op', 'keyed.servers'];

const encodeRecord = ({ key, value }) => {
  const keyBytes = Buffer.from(key);
  const header = Buffer.alloc(5);
  header.writeUInt32BE(1 + keyBytes.length + value.length, 0);
  header.writeUInt8(keyBytes.length, 4);
  return Buffer.concat([header, keyBytes, value]);
};

const decodeRecords = (body) => {
  const records = [];
  let position = 0;
  while (position + 5 <= body.length) {
    const length = body.readUInt32BE(position);
    const keyEnd = position + 5 + body.readUInt8(position + 4);
    records.push({
      key: body.toString('utf8', position + 5, keyEnd),
      value: Buffer.from(body.subarray(keyEnd, position + 4 + length)),
      bytes: length,
    });
    position += 4 + length;
  }
  return records;
};

/** Starts the store. `limits` are those of the settings; `record` writes a line of the case's record. */
const startStore = async ({ limits, record }) => {
  const topics = new Map();
  let reads = [];
  let outage = false;

  const openTopic = (name) => {
    if (!topics.has(name))
      topics.set(name, { records: [], newest: new Map(), producers: new Map() });
    return topics.get(name);
  };
  const answer = (response, status, body) => {
    const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
    response.writeHead(status, {
      'content-type': Buffer.isBuffer(body) ? 'application/octet-stream' : 'application/json',
      'content-length': bytes.length,
    });
    response.end(bytes);
  };
  const answerRead = ({ response, topic, from, maxBytes }) => {
    const { records } = openTopic(topic);
    const header = Buffer.alloc(headerBytes);
    header.writeBigUInt64BE(BigInt(records.length), 0);
    const parts = [header];
    let bytes = 0;
    for (let offset = from; offset < records.length; offset += 1) {
      const encoded = encodeRecord(records[offset]);
      if (bytes > 0 && bytes + encoded.length > maxBytes) break;
      bytes += encoded.length;
      parts.push(encoded);
    }
    answer(response, 200, Buffer.concat(parts));
  };
  const answerDueReads = () => {
    if (outage) return;
    const now = performance.now();
    const due = reads.filter((r) => openTopic(r.topic).records.length > r.from || r.dueAt <= now);
    reads = reads.filter((read) => !due.includes(read));
    due.forEach(answerRead);
  };
  const push = (name, records) => {
    const topic = openTopic(name);
    const offset = topic.records.length;
    records.forEach(({ key, value }) => {
      if (value.length === 0) topic.newest.delete(key);
      else topic.newest.set(key, topic.records.length);
      topic.records.push({ key, value });
    });
    answerDueReads();
    return { offset, end_offset: topic.records.length };
  };

  const append = (response, query, body) => {
    const name = query.get('topic');
    if (operatorTopics.includes(name)) return answer(response, 403, {});
    const topic = openTopic(name);
    const records = decodeRecords(body);
    const largest = Math.max(0, ...records.map(({ bytes }) => bytes));
    if (largest > limits.maxRecordBytes || body.length > limits.maxCallBytes) {
      record(`store: append to ${name} refused with 413: largest record ${largest} bytes`);
      return answer(response, 413, { reason: 'size' });
    }
    const end = topic.records.length;
    if (query.has('at') && Number(query.get('at')) !== end) {
      return answer(response, 412, { end_offset: end });
    }
    if (query.has('producer')) {
      const epoch = Number(query.get('epoch'));
      const sequence = Number(query.get('seq_no'));
      const last = topic.producers.get(query.get('producer'));
      if (last && epoch < last.epoch) return answer(response, 409, { reason: 'fenced' });
      if (last && epoch === last.epoch) {
        const repeated = last.answers.get(sequence);
        if (repeated) return answer(response, 200, repeated);
        if (sequence !== last.sequence + 1) {
          return answer(response, 409, { reason: 'seq', expected: last.sequence + 1 });
        }
      }
      const result = push(name, records);
      const answers = last && epoch === last.epoch ? last.answers : new Map();
      answers.set(sequence, result);
      answers.delete(sequence - 5);
      topic.producers.set(query.get('producer'), { epoch, sequence, answers });
      return answer(response, 200, result);
    }
    return answer(response, 200, push(name, records));
  };

  const listNewest = (response, query) => {
    const topic = openTopic(query.get('topic'));
    const after = query.get('after') ?? '';
    const keys = [...topic.newest.keys()].filter((key) => key > after).sort();
    const items = [];
    let bytes = 0;
    keys.slice(0, pageItems).every((key) => {
      const offset = topic.newest.get(key);
      const value = topic.records[offset].value.toString('base64');
      bytes += value.length;
      if (items.length > 0 && bytes > pageBytes) return false;
      items.push({ key, value, offset });
      return true;
    });
    const body = { items, has_more: items.length < keys.length, end_offset: topic.records.length };
    answer(response, 200, body);
  };

  const serve = (request, response, body) => {
    // During the outage nothing is done and nothing is answered.
    if (outage) return;
    const { pathname, searchParams: query } = new URL(request.url, 'http://store');
    if (pathname === '/-/log-append') append(response, query, body);
    else if (pathname === '/-/log-newest') listNewest(response, query);
    else if (pathname === '/-/log-read') {
      reads.push({
        response,
        topic: query.get('topic'),
        from: Number(query.get('from')),
        maxBytes: Number(query.get('max_kb') ?? 1024) * 1024,
        dueAt: performance.now() + Number(query.get('wait_ms') ?? 0),
      });
      answerDueReads();
    } else answer(response, 404, {});
  };
  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => serve(request, response, Buffer.concat(chunks)));
    request.on('error', () => undefined);
    response.on('error', () => undefined);
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const timer = setInterval(answerDueReads, 20);
  return {
    port: server.address().port,
    /** Writes a record of the operator or of a worker; an outage loses it. */
    publish: (topic, key, value) => {
      if (outage) return;
      const bytes = value === null ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
      push(topic, [{ key, value: bytes }]);
    },
    /** Begins or ends a time in which the store answers nothing and does nothing. */
    setOutage: (value) => {
      outage = value;
      if (value) reads = [];
    },
    close: () => {
      clearInterval(timer);
      server.closeAllConnections();
      server.close();
    },
  };
};

export default startStore;
