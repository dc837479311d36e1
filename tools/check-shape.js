// Checks the rules of docs/style.md that the linter does not cover; exits with 1 on any finding.
import fs from 'node:fs';
import path from 'node:path';

const verbs = new Set(
  fs
    .readFileSync('docs/style.md', 'utf8')
    .match(/<!-- verbs -->([\s\S]*?)<!-- \/verbs -->/)[1]
    .match(/`[a-z]+`/g)
    .map((verb) => verb.slice(1, -1)),
);
const findings = [];

const listFiles = (folder) =>
  fs
    .readdirSync(folder, { withFileTypes: true })
    .flatMap((entry) =>
      entry.isDirectory()
        ? listFiles(path.join(folder, entry.name))
        : [path.join(folder, entry.name)],
    )
    .filter((file) => file.endsWith('.ts'));

const coreFolders = ['src/core/', 'src/control/'];

const checkImports = (file, text) => {
  const core = coreFolders.find((folder) => file.startsWith(folder));
  if (!core) return;
  [...text.matchAll(/from '([^']+)'/g)].forEach(([, target]) => {
    const resolved = target.startsWith('.')
      ? path.join(path.dirname(file), target)
      : `package ${target}`;
    const allowed =
      resolved.startsWith(core) || ['package zod', 'package neverthrow'].includes(resolved);
    if (!allowed) findings.push(`${file}: core imports ${target}`);
  });
  if (
    /(?:\bDate\.now|\bMath\.random|\bperformance\.now|\bsetTimeout\(|\bprocess\.(?:env|pid|on|exit|hrtime|uptime)\b)/.test(
      text,
    )
  ) {
    findings.push(`${file}: core reads a clock, a random source or the process`);
  }
};

const checkExports = (file, text) => {
  if (file.startsWith('src/bin/')) return;
  const names = [...text.matchAll(/^export (?:async )?(?:const|function|type|interface) (\w+)/gm)];
  const count = [...text.matchAll(/^export /gm)].length;
  if (count !== 1) findings.push(`${file}: ${count} exports, expected 1`);
  const base = path.basename(file, '.ts');
  if (names.length === 1 && names[0][1] !== base) {
    findings.push(`${file}: exports ${names[0][1]}, not ${base}`);
  }
  if (!/\*\/\nexport /.test(text)) findings.push(`${file}: export without a doc comment`);
};

const checkVerbs = (file, text) => {
  const functions = [
    ...text.matchAll(/^(?:export )?const (\w+) = (?:async )?(?:<[^=]*>)?\([^=]*\)[^=]*=>/gm),
    ...text.matchAll(/^(?:export )?(?:async )?function (\w+)/gm),
  ];
  functions.forEach(([, name]) => {
    const verb = name.match(/^[a-z]+/)?.[0];
    if (verb && !verbs.has(verb))
      findings.push(`${file}: ${name} does not begin with a listed verb`);
  });
};

const checkTests = (file, text) => {
  if (/\bdescribe\(/.test(text)) findings.push(`${file}: tests are flat, without describe`);
  if (/\b(?:test|it)\.(?:skip|only|todo)\b/.test(text)) findings.push(`${file}: skipped test`);
  if (!/\btest(?:\.each)?\(/.test(text)) findings.push(`${file}: no test`);
};

const checkEnums = (file, text) => {
  if (/^\s*(?:export )?(?:const )?enum /m.test(text)) findings.push(`${file}: enum`);
  if (/^\s*(?:export )?(?:abstract )?class \w+/m.test(text)) {
    findings.push(`${file}: class; use functions and string unions`);
  }
};

[...listFiles('src'), ...listFiles('platform'), ...listFiles('standins')].forEach((file) => {
  const text = fs.readFileSync(file, 'utf8');
  checkImports(file, text);
  checkExports(file, text);
  checkVerbs(file, text);
  checkEnums(file, text);
});
listFiles('tools').forEach((file) => checkVerbs(file, fs.readFileSync(file, 'utf8')));
listFiles('test')
  .filter((file) => file.endsWith('.test.ts'))
  .forEach((file) => checkTests(file, fs.readFileSync(file, 'utf8')));

// Names of the platform's interface may only occur in its adapter, platform/.
const platformNames = /\/-\/(?:log-|run-|hold)|X-Fencing-Token|until_ms|last_seen/i;
listFiles('src')
  .filter((file) => platformNames.test(fs.readFileSync(file, 'utf8')))
  .forEach((file) => findings.push(`${file}: a name of the platform outside platform/`));

findings.forEach((finding) => process.stderr.write(`${finding}\n`));
process.stdout.write(`shape check: ${findings.length} findings\n`);
process.exit(findings.length === 0 ? 0 : 1);
