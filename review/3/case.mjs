/**
 * New weights are named, all processes are killed, and the origin spoils one digit of the next manifest that it sends. Does the system recover?
 * With KILL=0 no process is killed, and the first manifest is the one that is spoilt; the same is counted, though the rule needs the kill.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BOUNDS, MODEL, pause, PIECE_BYTES, runCase, TROUBLE } from '../deployment.mjs'

const SECONDS_BEFORE = 5
/** How long is judged after the time within which the system has to recover. */
const SECONDS_JUDGED = 10
const DOWN_MS = 1_000
const KILL = process.env.KILL !== '0'

function pieceOf (version, index) { return Buffer.alloc(PIECE_BYTES, `piece ${index} of version ${version}; `) }

/** Flips one bit of the first digit of the 31st digest. */
function spoil (text) {
  const at = text.indexOf('"digests":["') + 12 + 30 * 67
  return `${text.slice(0, at)}${(Number.parseInt(text[at], 16) ^ 1).toString(16)}${text.slice(at + 1)}`
}

const isServed = ({ status, whole }) => status === 200 && whole
const share = outcomes => outcomes.filter(isServed).length / outcomes.length

runCase(dirname(fileURLToPath(import.meta.url)), pieceOf, async (deployment, record) => {
  await deployment.start()
  const before = await deployment.load('draft', 10, SECONDS_BEFORE)
  record.say(`before the final fault: ${before.length} requests sent, ${(100 * share(before)).toFixed(0)}% served`)
  const spoilNext = () => {
    let left = TROUBLE ? 1 : 0
    deployment.origin.spoilManifest = text => left-- > 0 ? spoil(text) : text
  }
  if (!KILL) spoilNext()
  deployment.store.put(`op/version/${MODEL}`, { model: MODEL, version: 2 })
  record.say('operator: names version 2; the store has acknowledged it')
  if (KILL) {
    for (const machine of deployment.machines) machine.signal('SIGKILL')
    record.say('all processes are killed')
    await pause(DOWN_MS)
    spoilNext()
    for (const machine of deployment.machines) machine.start()
  }
  const returnedAt = performance.now()
  const after = await deployment.load('draft', 10, BOUNDS.recoverS + SECONDS_JUDGED)
  const judged = after.filter(({ sentAt }) => sentAt > returnedAt + BOUNDS.recoverS * 1000)
  record.say(`more than ${BOUNDS.recoverS} s after the return: ${judged.length} requests sent, ${(100 * share(judged)).toFixed(0)}% served; the answers: ${[...new Set(judged.map(({ status }) => status))].join(' ')}`)
  record.say(`the origin sent ${deployment.origin.piecesSent} pieces; versions: ${deployment.workers.map(({ id, version }) => `${id} ${version}`).join(', ')}`)
  if (share(before) < 0.25) throw new Error('too few requests were served before the final fault')
  return share(judged) < 0.25
})
