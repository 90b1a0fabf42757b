// Runs the bundle beside this file with its compiled code; `compile-ahead` writes that code.
const { readFileSync, writeFileSync } = require('node:fs')
const { Module } = require('node:module')
const path = require('node:path')
const vm = require('node:vm')

const file = path.join(__dirname, 'bundle.cjs')
const cacheFile = path.join(__dirname, 'bundle.cache')

function compiledCode () {
  try {
    return readFileSync(cacheFile)
  } catch {
    return undefined
  }
}

const source = readFileSync(file, 'utf8').replace(/^#!.*/, '')
const script = new vm.Script(Module.wrap(source), {
  filename: file,
  cachedData: compiledCode(),
  importModuleDynamically: vm.constants?.USE_MAIN_CONTEXT_DEFAULT_LOADER
})
script.runInThisContext()(exports, require, module, file, __dirname)

// After the run, so that the code which the start needed is in it.
if (process.argv[2] === 'compile-ahead') setImmediate(() => module.exports.loaded.then(() => writeFileSync(cacheFile, script.createCachedData())))
