import type { TaskProgress } from '../jobs/TaskProgress.js';
import { measureLengthBytes } from './measureLengthBytes.js';
import { measureNumberBytes } from './measureNumberBytes.js';
import { measureTextBytes } from './measureTextBytes.js';

const fieldCount = 9;

/** Computes the most bytes that the row of a task takes in a stored record. */
export const measureTaskBytes = (task: TaskProgress): number =>
  measureLengthBytes(fieldCount) +
  measureNumberBytes(task.occurrence) +
  measureNumberBytes(task.step) +
  measureNumberBytes(task.index) +
  measureTextBytes(task.state) +
  measureNumberBytes(task.run) +
  measureNumberBytes(task.failures) +
  measureTextBytes(task.workerId) +
  measureTextBytes(task.checkpoint) +
  measureNumberBytes(task.startedAt);
