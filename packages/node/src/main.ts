#!/usr/bin/env node
/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The entry point of the `drumdrift` command. */
import { commandLine } from './lib/command-line.js'

await commandLine().parseAsync(process.argv)
