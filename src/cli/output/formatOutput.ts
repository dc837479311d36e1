import type { CliOutput } from '../CliOutput.js';
import { formatTable } from './formatTable.js';

/** Formats the output of a command as text, or as JSON. */
export const formatOutput = (output: CliOutput, json: boolean): string | Buffer => {
  if (json) return `${JSON.stringify(output.data, null, 2)}\n`;
  const { view } = output;
  if (Buffer.isBuffer(view)) return view;
  return typeof view === 'string' ? `${view.trimEnd()}\n` : `${formatTable(view)}\n`;
};
