import type { StoreEvent } from './StoreEvent.js';
import type { TopicState } from './TopicState.js';

type Append = Extract<StoreEvent, { type: 'appendRequested' }>;

interface AppendAnswer {
  status: number;
  body: Record<string, unknown>;
}

const buildAppendAnswer = (offset: number, endOffset: number): AppendAnswer => ({
  status: 200,
  body: { offset, end_offset: endOffset },
});

/** Returns the refusal of the producer's append, or the earlier answer if it is a repeat; otherwise null. */
const checkProducer = (topic: TopicState, producer: Append['producer']): AppendAnswer | null => {
  const lastAppend = producer && topic.producers.get(producer.name);
  if (!lastAppend) return null;
  if (producer.epoch < lastAppend.epoch) return { status: 409, body: { reason: 'fenced' } };
  if (producer.epoch > lastAppend.epoch) return null;
  if (producer.sequence === lastAppend.sequence)
    return buildAppendAnswer(lastAppend.offset, lastAppend.endOffset);
  if (producer.sequence === lastAppend.sequence + 1) return null;
  return { status: 409, body: { reason: 'seq', expected: lastAppend.sequence + 1 } };
};

/** Appends all records or none, depending on the conditions of the call. */
export const appendRecords = (
  topic: TopicState,
  { expectedEndOffset, producer, records }: Append,
): AppendAnswer => {
  const offset = topic.records.length;
  if (expectedEndOffset !== null && expectedEndOffset !== offset)
    return { status: 412, body: { end_offset: offset } };
  const answer = checkProducer(topic, producer);
  if (answer) return answer;
  topic.records.push(...records);
  const endOffset = topic.records.length;
  if (producer) {
    const { name, epoch, sequence } = producer;
    topic.producers.set(name, { epoch, sequence, offset, endOffset });
  }
  return buildAppendAnswer(offset, endOffset);
};
