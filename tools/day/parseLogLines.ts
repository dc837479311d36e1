import type { LogLine } from './LogLine.js';

const parseLine = (text: string): LogLine[] => {
  // A benchmark or a log collector may prefix the line with its own timestamp and the VM's name.
  const start = text.indexOf('{"time"');
  if (start < 0) return [];
  try {
    const { time, code, ...fields } = JSON.parse(text.slice(start)) as Record<string, unknown>;
    return [{ at: Date.parse(String(time)), code: String(code), fields }];
  } catch {
    // The line is truncated because its process ended.
    return [];
  }
};

/** Parses the log lines of one or more daemons and sorts them by time. */
export const parseLogLines = (text: string): LogLine[] =>
  text
    .split('\n')
    .flatMap(parseLine)
    .sort((a, b) => a.at - b.at);
