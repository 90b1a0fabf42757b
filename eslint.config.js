import neostandard from 'neostandard'

const IO_MODULES = ['node:*', 'ws', 'koa', '@koa/*', 'undici', 'prom-client', 'debug', '**/daemon/**', '**/store/**', '**/endpoints/**', '**/standins/**']

export default [
  ...neostandard({ ts: true, noJsx: true, ignores: ['dist/**', 'target/**', 'node_modules/**'] }),
  {
    files: ['core/**/*.ts'],
    ignores: ['**/*_test.ts'],
    rules: { 'no-restricted-imports': ['error', { patterns: [{ group: IO_MODULES, message: 'core decides and does no I/O' }] }] }
  }
]
