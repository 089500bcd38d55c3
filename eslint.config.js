import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default [
  { ignores: ['**/lib/**', 'target/**', '**/node_modules/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    files: ['**/bin/*.js', '*.js'],
    rules: { 'import-x/extensions': 'off' },
  },
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: process.cwd() },
    },
    rules: {
      '@stylistic/lines-between-class-members': [
        'error',
        'always',
        { exceptAfterSingleLine: true },
      ],
      // Named exports keep one spelling of a name across all packages.
      'import-x/prefer-default-export': 'off',
      // The runtime resolves ECMAScript modules by their full file name.
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-rename-default': 'off',
      // Log records, retry loops and state machines are sequential on purpose.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'no-restricted-syntax': 'off',
      'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
      'no-underscore-dangle': 'off',
      'no-param-reassign': ['error', { props: false }],
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': 'off',
      '@typescript-eslint/consistent-type-imports': ['error', { prefer: 'type-imports' }],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-shadow': 'error',
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-sync': 'off',
      'n/no-process-exit': 'off',
      'max-classes-per-file': ['error', 1],
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
    },
  },
];
