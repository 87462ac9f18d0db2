// Runs every compiled test file with node's test runner and exits with its verdict.
import { spawnSync } from 'node:child_process'
import { readdirSync } from 'node:fs'
import { join } from 'node:path'

const root = new URL('..', import.meta.url).pathname
const built = ['packages', 'platform'].flatMap(folder => readdirSync(join(root, folder), { recursive: true }).map(name => join(folder, String(name))))
const files = built
  .filter(name => /^(packages\/[^/]+|platform)\/build\/test\/.*_test\.js$/.test(name))
  .sort()
  .map(name => join(root, name))
const result = spawnSync(process.execPath, ['--test', '--test-reporter=spec', ...files], { stdio: 'inherit' })
process.exit(result.status ?? 1)
