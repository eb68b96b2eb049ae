import neostandard from 'neostandard'

export default [
  { ignores: ['**/dist/**', 'results/**', 'target/**'] },
  ...neostandard({ ts: true }),
  {
    files: ['**/*.ts'],
    rules: {
      // The compiler reports values declared twice; a constant object and the type of its values share a name.
      '@typescript-eslint/no-redeclare': 'off',
      'no-void': ['error', { allowAsStatement: true }]
    }
  },
  {
    files: ['**/*.test.ts'],
    rules: { '@typescript-eslint/no-unused-expressions': 'off' }
  }
]
