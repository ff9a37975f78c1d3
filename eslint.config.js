import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

export default [
  ...neostandard({
    ts: true,
    ignores: [...resolveIgnoresFromGitignore(), '**/*.generated.ts', '**/__snapshots__/**']
  }),
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    rules: {
      complexity: ['error', 12],
      'max-lines': ['error', { max: 400 }],
      'max-lines-per-function': ['error', { max: 60 }]
    }
  },
  {
    files: ['packages/*/test/**/*.ts', 'platform/test/**/*.ts'],
    rules: { 'max-lines-per-function': 'off' }
  }
]
