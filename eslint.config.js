import neostandard from 'neostandard'

export default [
  { ignores: ['**/dist/**', 'results/**', 'target/**'] },
  ...neostandard({ ts: true }),
  {
    files: ['**/*.ts'],
    rules: {
      // A constant object and the union type of its values share a name. The compiler already reports redeclared values.
      '@typescript-eslint/no-redeclare': 'off',
      'no-void': ['error', { allowAsStatement: true }]
    }
  },
  {
    files: ['**/*.test.ts'],
    rules: { '@typescript-eslint/no-unused-expressions': 'off' }
  }
]
