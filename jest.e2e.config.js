import unit from './jest.config.js';

// Each file starts an office of separate processes from dist/; run in band.
export default {
  ...unit,
  testMatch: ['<rootDir>/test/e2e/*.test.ts'],
  testPathIgnorePatterns: ['/node_modules/'],
};
