import unit from './jest.config.js';

// Each file starts a cluster of separate processes from dist/, so the files run one at a time.
export default {
  ...unit,
  testMatch: ['<rootDir>/test/e2e/*.test.ts'],
  testPathIgnorePatterns: ['/node_modules/'],
};
