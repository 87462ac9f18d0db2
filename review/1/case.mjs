/**
 * New weights are named. Do the workers hold each piece when they load them? The pieces of version 2 by WEIGHTS:
 * `equal`, the default: two of them have the same bytes, as blocks of zeros have;
 * `moved`: two pieces of version 1 have exchanged their places, and all others are new;
 * `distinct`: all are new and differ.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { MODEL, pause, PIECE_BYTES, runCase, TROUBLE } from '../deployment.mjs'

/** The places of the two pieces. */
const PLACES = [20, 70]

const piece = (version, index) => Buffer.alloc(PIECE_BYTES, `piece ${index} of version ${version}; `)
const specialPieces = {
  equal: () => Buffer.alloc(PIECE_BYTES),
  moved: index => piece(1, PLACES.find(other => other !== index)),
  distinct: index => piece(2, index)
}
const special = specialPieces[process.env.WEIGHTS ?? 'equal']

function pieceOf (version, index) { return version === 2 && PLACES.includes(index) ? special(index) : piece(version, index) }

runCase(dirname(fileURLToPath(import.meta.url)), pieceOf, async (deployment, record) => {
  await deployment.start()
  const load = deployment.load('draft', 10, 22)
  await pause(4_000)
  if (TROUBLE) {
    deployment.store.put(`op/version/${MODEL}`, { model: MODEL, version: 2 })
    record.say('operator: names version 2')
  }
  const outcomes = await load
  const served = outcomes.filter(({ status, whole }) => status === 200 && whole).length
  record.say(`requests: ${outcomes.length} sent, ${served} served whole`)
  for (const { id, version } of deployment.workers) record.say(`worker ${id}: version ${version}`)
  const bad = deployment.workers.filter(({ tokensOfBadPieces }) => tokensOfBadPieces > 0)
  for (const { firstBad, tokensOfBadPieces } of bad) record.say(`WHOLE: ${firstBad} (${tokensOfBadPieces} events in all)`)
  if (served < outcomes.length / 2) throw new Error('too few requests were served')
  return bad.length > 0
})
