import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { afterEach, expect, test } from '@jest/globals';
import { readProfile } from '../../../tools/load/readProfile.js';

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'siskin-profile-'));

afterEach(() => fs.rmSync(folder, { recursive: true, force: true }));

const makeNode = (id: number, functionName: string, children: number[]) => ({
  id,
  callFrame: { functionName, url: '', lineNumber: id },
  children,
});

// Guards against time that is counted twice for a function that calls itself, or idle time that counts.
test('shares are of the busy time, once per function', () => {
  const file = path.join(folder, 'x.cpuprofile');
  const nodes = [
    makeNode(1, '(root)', [2, 4]),
    makeNode(2, 'outer', [3]),
    { ...makeNode(3, 'outer', []), callFrame: makeNode(2, 'outer', []).callFrame },
    makeNode(4, '(idle)', []),
  ];
  const profile = { nodes, samples: [2, 3, 4], timeDeltas: [100, 300, 600] };
  fs.writeFileSync(file, JSON.stringify(profile));
  const outer = readProfile(file).find(({ name }) => name.startsWith('outer'));
  expect(outer).toMatchObject({ self: 1, total: 1 });
});
