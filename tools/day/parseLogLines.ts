import type { LogLine } from './LogLine.js';

const parseLine = (text: string): LogLine[] => {
  // A bench or a collector may put its own time and the VM's name before the line.
  const start = text.indexOf('{"time"');
  if (start < 0) return [];
  try {
    const { time, code, ...fields } = JSON.parse(text.slice(start)) as Record<string, unknown>;
    return [{ at: Date.parse(String(time)), code: String(code), fields }];
  } catch {
    // A line that was cut off by its writer's end.
    return [];
  }
};

/** Parses the lines of one or more daemons, in the order of their times. */
export const parseLogLines = (text: string): LogLine[] =>
  text
    .split('\n')
    .flatMap(parseLine)
    .sort((a, b) => a.at - b.at);
