/** ESLint configuration: Standard style (neostandard) with additional TypeScript rules. */
import neostandard, { plugins } from 'neostandard'

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'target/**', 'journal/**'] },
  ...neostandard({ ts: true }),
  {
    files: ['**/*.ts'],
    plugins: { '@typescript-eslint': plugins['typescript-eslint'].plugin },
    rules: {
      // A constant object shares its name with the type of its values: https://www.typescriptlang.org/docs/handbook/enums.html#objects-vs-enums
      '@typescript-eslint/no-redeclare': 'off',
      'no-redeclare': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-non-null-assertion': 'error',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_', varsIgnorePattern: '^_' }]
    }
  }
]
