#!/usr/bin/env node
// The command stands here, outside the build, so that installing can link it before anything is built.
import { existsSync } from 'node:fs'

const program = new URL('../build/main.js', import.meta.url)
if (existsSync(program)) {
  await import(program.href)
} else {
  process.stderr.write('event=not-built expected="npm run build first"\n')
  process.exitCode = 2
}
