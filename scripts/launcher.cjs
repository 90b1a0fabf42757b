// Runs the bundle in this directory with its code cache. With `compile-ahead`, writes the code cache on exit.
const { readFileSync, writeFileSync } = require('node:fs')
const { Module } = require('node:module')
const path = require('node:path')
const v8 = require('node:v8')
const vm = require('node:vm')

// Without a handler, a SIGHUP would terminate the process before the daemon installs its own.
process.on('SIGHUP', () => {})

const file = path.join(__dirname, 'bundle.cjs')
const cacheFile = path.join(__dirname, 'bundle.cache')

function readCodeCache () {
  try {
    return readFileSync(cacheFile)
  } catch {
    return undefined
  }
}

const source = readFileSync(file, 'utf8').replace(/^#!.*/, '')
const script = new vm.Script(Module.wrap(source), {
  filename: file,
  cachedData: readCodeCache(),
  importModuleDynamically: vm.constants?.USE_MAIN_CONTEXT_DEFAULT_LOADER
})
// Reported because without the cache, callers wait twice as long for a restarted daemon, with no other sign of the cause.
if (script.cachedDataRejected) process.stderr.write('compiled code refused: it was made by another version or under other flags of Node.js\n')

const compileAhead = process.argv[2] === 'compile-ahead'
// Keeps all functions that ran compiled until the cache is written.
if (compileAhead) v8.setFlagsFromString('--no-flush-bytecode')
script.runInThisContext()(exports, require, module, file, __dirname)

// The cache is created on exit so that it includes all code that ran. The flag is reset first because V8 rejects a cache created with other flags.
if (compileAhead) {
  process.on('exit', (status) => {
    v8.setFlagsFromString('--flush-bytecode')
    if (status === 0) writeFileSync(cacheFile, script.createCachedData())
  })
}
