import { expect, test } from '@jest/globals';
import { errorCatalogue } from '../../src/core/errorCatalogue.js';
import { translateRefusal } from '../../src/core/translateRefusal.js';

// Guards against a status that HTTP libraries reject, and against empty texts.
test('every refusal reason has an error status and texts', () => {
  Object.values(errorCatalogue).forEach((entry) => {
    expect(entry.status).toBeGreaterThanOrEqual(400);
    expect(entry.status).toBeLessThan(600);
    expect([entry.title, entry.message, entry.hint].every((text) => text.length > 0)).toBe(true);
  });
});

// Guards against advice to retry work that may already have run.
test('unknown outcome has its own detail and hint', () => {
  const problem = translateRefusal({ reason: 'deadline-exceeded', outcome: 'unknown' }, 'r1');
  expect(problem).toMatchObject({ status: 504, outcome: 'unknown', requestId: 'r1' });
  expect(problem.detail).toContain('not known');
  expect(problem.hint).toContain('before it is sent again');
});

// Guards against dropping the detail that names the invalid value, and against joining two
// sentences without a full stop or with two.
test.each(['zones.a: expected an object', 'zones.a: expected an object.'])(
  'detail "%s" precedes the outcome',
  (detail) => {
    const problem = translateRefusal(
      { reason: 'invalid-settings', outcome: 'not-run', detail },
      'r2',
    );
    expect(problem.detail).toBe('zones.a: expected an object. The work was not run.');
  },
);
