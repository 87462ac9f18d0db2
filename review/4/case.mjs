/** The only worker of a service is replaced by another one, and the store cuts its waiting watches just then. For how long does the old worker get requests? */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BOUNDS, pause, PIECE_BYTES, PlainWorker, runCase, TROUBLE } from '../deployment.mjs'

/** How long before the entry of the old worker goes the store cuts its watches. Until the entries call again, 50 to 150 ms pass. */
const CUT_BEFORE_MS = 20
/** How long the old worker serves on after its entry has gone: `drainMs` and a little longer. */
const SERVES_ON_MS = BOUNDS.drainMs + 450

function pieceOf (version, index) { return Buffer.alloc(PIECE_BYTES, `piece ${index} of version ${version}; `) }

runCase(dirname(fileURLToPath(import.meta.url)), pieceOf, async (deployment, record) => {
  await deployment.start({ desks: 1 })
  const { store } = deployment
  const [old] = deployment.desks
  const load = deployment.load('confirm', 40, 12)
  await pause(2_000)
  const successor = new PlainWorker('i-desk-2', old.service, old.zone, record)
  await successor.listen(old.address.split(':')[0], 8002)
  successor.beat(store)
  deployment.desks.push(successor)
  record.say('release: worker i-desk-2 starts')
  await pause(4_000)
  if (TROUBLE) {
    record.say(`store: cuts ${store.watches.size} waiting watches`)
    for (const { response } of [...store.watches]) response.socket.end()
  }
  await pause(CUT_BEFORE_MS)
  clearInterval(old.timer)
  store.remove(`servers/${old.id}`)
  const goneAt = performance.now()
  record.say(`release: the entry of worker ${old.id} goes; the store has acknowledged it`)
  await pause(SERVES_ON_MS)
  old.close()
  record.say(`release: worker ${old.id} ends, with ${old.inProgress} requests in progress`)
  const outcomes = await load
  const served = outcomes.filter(({ status, whole }) => status === 200 && whole).length
  const failed = outcomes.filter(({ status }) => status === 502 || status === 0)
  record.say(`requests: ${outcomes.length} sent, ${served} served, ${failed.length} with an unknown outcome (${failed.map(({ id }) => id).join(' ')})`)
  const after = old.runs.map(run => ({ id: run.id, late: run.at - goneAt })).filter(({ late }) => late > 0)
  record.say(`worker ${old.id} ran ${after.length} requests after its entry had gone, the last one ${Math.round(after.at(-1)?.late ?? 0)} ms after it`)
  const broken = after.filter(({ late }) => late > BOUNDS.drainMs)
  for (const { id, late } of broken) record.say(`DRAIN: ${id} reaches ${old.id} ${Math.round(late)} ms after the acknowledgement that it is gone`)
  if (served < outcomes.length / 2) throw new Error('too few requests were served')
  return broken.length > 0
})
