#!/usr/bin/env node
/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The program. */
import { commandLine } from './lib/command-line.js'

await commandLine().parseAsync(process.argv)
