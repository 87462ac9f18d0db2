// Runs every compiled test file with node's test runner and exits with its verdict. Files that KNOWN-RED.txt names run by themselves before:
// failures of the listed cases are printed and tolerated, those of other cases are not, and a file that always fails has to be taken off
// the list once it passes. Entries about plays that cannot be run here are printed. Files that load a process up to its limits run one at a
// time, beside no others.
import { spawnSync } from 'node:child_process'
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { run as startTests } from 'node:test'
import { spec as SpecReporter } from 'node:test/reporters'

const root = new URL('..', import.meta.url).pathname
const listed = join(root, 'KNOWN-RED.txt')
// One line for each: SOURCE FILE: cause: issue; flaky: SOURCE FILE "CASE" "CASE": what was seen: issue, for cases that fail only sometimes; or
// play: COMMAND: what was seen: issue
const knownRed = (existsSync(listed) ? readFileSync(listed, 'utf8').split('\n') : []).filter(line => line.trim() !== '')
const FLAKY = /^flaky: (?<source>\S+)(?<cases>(?: "[^"]+")+): /
const builtFileOf = source => source.trim().replace('/src/', '/build/').replace(/\.ts$/, '.js')
const isFlaky = line => line.startsWith('flaky:')
const redFiles = new Set(knownRed.filter(line => !line.startsWith('play:') && !isFlaky(line)).map(line => builtFileOf(line.split(':')[0])))
/** Tests with crowds of clients, which take all that one processor can do. */
const CROWD_TEST = /\/clients-(outside-their-limits|at-other-ports)_test\.js$/
/** The cases of each file that may fail. */
const flakyCases = new Map(knownRed.filter(isFlaky).map(parseFlaky))
const built = ['packages', 'platform'].flatMap(folder => readdirSync(join(root, folder), { recursive: true }).map(name => join(folder, String(name))))
const files = built.filter(name => /^(packages\/[^/]+|platform)\/build\/test\/.*_test\.js$/.test(name)).sort()

function parseFlaky (line) {
  const { source, cases } = FLAKY.exec(line)?.groups ?? {}
  if (source === undefined) throw new Error(`KNOWN-RED.txt names no cases: ${line}`)
  return [builtFileOf(source), new Set([...cases.matchAll(/"([^"]+)"/g)].map(([, name]) => name))]
}

function run (names) {
  return spawnSync(process.execPath, ['--test', '--test-reporter=spec', ...names.map(name => join(root, name))], { stdio: 'inherit' }).status ?? 1
}

/** Runs one file; returns the names of the cases that failed, without the groups that hold them. */
async function failuresOf (name) {
  const failures = []
  const tests = startTests({ files: [join(root, name)] })
  tests.on('test:fail', ({ name: failed, details }) => { if (details.error?.failureType !== 'subtestsFailed') failures.push(failed) })
  const output = tests.compose(new SpecReporter())
  for await (const text of output) process.stdout.write(text)
  return failures
}

/** Returns whether each flaky file failed in none but its listed cases. */
async function runFlaky () {
  let passed = true
  for (const [name, cases] of flakyCases) {
    const failures = files.includes(name) ? await failuresOf(name) : ['the file is not there']
    for (const failed of failures) console.log(`${name}: ${cases.has(failed) ? 'known to fail sometimes, failed' : 'failed, and is not listed'}: ${failed}`)
    passed &&= failures.every(failed => cases.has(failed))
  }
  return passed
}

async function runKnownRed () {
  if (knownRed.length === 0) return 0
  console.log(`\nKnown to fail (KNOWN-RED.txt):\n${knownRed.join('\n')}`)
  const isFlakyAsListed = await runFlaky()
  const passing = [...redFiles].filter(name => !files.includes(name) || run([name]) === 0)
  if (passing.length > 0) console.log(`To be taken off KNOWN-RED.txt, since they pass or are not there: ${passing.join(', ')}`)
  return passing.length === 0 && isFlakyAsListed ? 0 : 1
}

const red = await runKnownRed()
const unlisted = files.filter(name => !redFiles.has(name) && !flakyCases.has(name))
const crowds = unlisted.filter(name => CROWD_TEST.test(name)).map(name => run([name]))
const others = run(unlisted.filter(name => !CROWD_TEST.test(name)))
process.exit(others || red || Math.max(0, ...crowds))
