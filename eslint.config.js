import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import tseslint from 'typescript-eslint';

export default [
  { ignores: ['dist/', 'target/', 'node_modules/', 'coverage/'] },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  {
    files: ['**/*.ts'],
    languageOptions: { parser: tseslint.parser, parserOptions: { projectService: true } },
  },
  prettier,
  // A configuration file is loaded by Node, which needs the extension.
  { files: ['*.config.js'], rules: { 'import-x/extensions': 'off' } },
  { files: ['tools/*.js'], languageOptions: { globals: { process: 'readonly' } } },
  {
    files: ['src/**/*.ts', 'platform/**/*.ts', 'standins/**/*.ts', 'tools/**/*.ts', 'test/**/*.ts'],
    rules: {
      // Named exports keep a file's name and its export the same (docs/style.md).
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      // The reducer's only owner updates its state in place (docs/design.md, section 3).
      'no-param-reassign': ['error', { props: false }],
      'no-restricted-syntax': 'off',
      'no-continue': 'off',
      'no-console': 'error',
      'max-lines': ['error', { max: 250, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 60, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    // Development tools are not shipped; nothing else may use what is installed for them.
    files: ['tools/day/**/*.ts'],
    rules: { 'import-x/no-extraneous-dependencies': ['error', { devDependencies: true }] },
  },
];
