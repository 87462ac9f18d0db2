/** Two of four workers spoil the status line of 2 in 100 of their answers for 5 s. What do the clients get? */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { pause, PIECE_BYTES, runCase, TROUBLE } from '../deployment.mjs'

const GARBLE_SECONDS = 5
/** One answer in this many is spoilt: 2 in 100. */
const SPOILT_ONE_IN = 50

function pieceOf (version, index) { return Buffer.alloc(PIECE_BYTES, `piece ${index} of version ${version}; `) }

const spoilt = new Set()

/** From now on, the worker flips one bit in the first digit of a status (200 becomes 000). The rest of the answer is sound. */
function garble (worker, record) {
  let answers = 0
  const sound = worker.stream.bind(worker)
  worker.stream = async (request, response) => {
    answers += 1
    if (worker.garbles !== true || answers % SPOILT_ONE_IN !== 0) return sound(request, response)
    const id = request.headers['x-attempt-id']
    const run = worker.ran(request)
    spoilt.add(id)
    record.say(`worker ${worker.id}: spoils the status of its answer to ${id}`)
    const head = Object.entries({ ...worker.head(request), 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked' }).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    const { socket } = request
    socket.on('close', () => { run.closed = true })
    socket.write(`HTTP/1.1 000 OK\r\n${head}\r\n`)
    for (let event = 1; event <= worker.events && run.closed !== true; event += 1) {
      await pause(worker.eventMs)
      const text = `id: ${event}\ndata: piece ${event} of ${id}\n\n`
      socket.write(`${text.length.toString(16)}\r\n${text}\r\n`)
    }
    socket.end('0\r\n\r\n')
  }
}

runCase(dirname(fileURLToPath(import.meta.url)), pieceOf, async (deployment, record) => {
  await deployment.start()
  const garbling = deployment.workers.slice(0, 2)
  for (const worker of garbling) garble(worker, record)
  const load = deployment.load('draft', 60, 9)
  await pause(2_000)
  for (const worker of garbling) worker.garbles = TROUBLE
  await pause(GARBLE_SECONDS * 1000)
  for (const worker of garbling) worker.garbles = false
  const outcomes = await load
  const events = deployment.workers[0].events
  const whole = ({ id }) => Array.from({ length: events }, (_, index) => `id: ${index + 1}\ndata: piece ${index + 1} of ${id}\n\n`).join('')
  const successes = outcomes.filter(({ status }) => status >= 200 && status < 300)
  record.say(`requests: ${outcomes.length} sent, ${successes.length} with success, ${spoilt.size} with a spoilt status at a worker`)
  // The rule: a success without the worker's seal, or, if it looks complete, with a body other than the worker's whole body.
  const mixed = successes.filter(outcome => outcome.headers['x-server-seal'] === undefined || (outcome.whole && outcome.body !== whole(outcome)))
  for (const outcome of mixed) record.say(`MIXED: ${outcome.id} got ${outcome.status}, ${outcome.whole ? 'complete' : 'cut'}, seal ${outcome.headers['x-server-seal'] ?? 'missing'}, first event ${JSON.stringify(outcome.body.split('\n\n')[0])}`)
  if (successes.length < outcomes.length / 2) throw new Error('too few requests were served')
  return mixed.length > 0
})
