import neostandard from 'neostandard'

export default [
  { ignores: ['**/dist/**', 'results/**'] },
  ...neostandard({ ts: true }),
  {
    files: ['**/*.test.ts'],
    rules: { '@typescript-eslint/no-unused-expressions': 'off' }
  }
]
