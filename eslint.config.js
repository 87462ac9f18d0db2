import neostandard from 'neostandard'
import jsdoc from 'eslint-plugin-jsdoc'

export default [
  ...neostandard({ ts: true, ignores: ['**/build/**', 'target/**', 'journal/**', '**/*.generated.js'] }),
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: ['**/test/**'],
    plugins: { jsdoc },
    rules: {
      // Every exported item carries a doc comment.
      'jsdoc/require-jsdoc': ['error', {
        publicOnly: true,
        require: { FunctionDeclaration: true, ClassDeclaration: true },
        contexts: ['TSInterfaceDeclaration', 'TSTypeAliasDeclaration']
      }],
      'jsdoc/require-file-overview': 'off'
    }
  }
]
