// Bundles the command line into target/ and creates a code cache, so that a restarted daemon loads its code in a fraction of the time.
import { spawnSync } from 'node:child_process'
import { copyFileSync, rmSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'

/** Timeout of the warm-up in milliseconds. On an idle machine the warm-up takes a tenth of it. */
const WARM_UP_TIMEOUT_MS = 120_000

/** Leaves out code that a daemon does not call, because callers wait while a restarted daemon loads its code. */
const slimPlugin = {
  name: 'slim',
  setup (bundle) {
    bundle.onResolve({ filter: /^undici$/ }, () => ({ path: fileURLToPath(new URL('undici_core.cjs', import.meta.url)) }))
    // The browser build lacks the module discovery by file name, whose unused dependencies would be loaded at each start.
    bundle.onResolve({ filter: /^awilix$/ }, () => ({ path: fileURLToPath(new URL('../node_modules/awilix/lib/awilix.browser.mjs', import.meta.url)) }))
    // undici treats an HTTP/2 module without constants as missing. Daemons do not use HTTP/2.
    bundle.onResolve({ filter: /^node:http2$/ }, () => ({ path: 'http2', namespace: 'absent' }))
    bundle.onLoad({ filter: /.*/, namespace: 'absent' }, () => ({ contents: 'module.exports = { constants: {} }' }))
  }
}

await build({
  entryPoints: { bundle: 'cli/main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  format: 'cjs',
  platform: 'node',
  target: 'node20',
  // The CommonJS builds of some packages load their own files by paths that do not exist in a bundle.
  mainFields: ['module', 'main'],
  define: { 'import.meta.url': 'importMetaUrl' },
  banner: { js: "const importMetaUrl = require('node:url').pathToFileURL(__filename).href;" },
  plugins: [slimPlugin],
  minifyWhitespace: true,
  // Stack traces refer to lines of this bundle.
  lineLimit: 160,
  legalComments: 'none',
  // The demo, the benchmarks and the soak test run only from the sources.
  external: ['../demo/*', '../bench/*', '../platform/soak/*'],
  logLevel: 'warning'
})
copyFileSync('scripts/launcher.cjs', 'target/verbenatiller.cjs')
// The code cache of the previous build would be rejected.
rmSync('target/bundle.cache', { force: true })

// V8 rejects a code cache created with other flags, so it is created with those of deploy/system.toml: none, because with any flags the code
// of Node.js itself would be recompiled at each start, which takes 45 ms.
const warmUp = spawnSync(process.execPath, ['--import', 'tsx', 'platform/standins/warm_up.ts'], { stdio: 'inherit', timeout: WARM_UP_TIMEOUT_MS })
if (warmUp.status !== 0) {
  console.warn('Cannot warm up the built daemon: the code cache contains only code compiled at startup')
  const compiled = spawnSync(process.execPath, ['target/verbenatiller.cjs', 'compile-ahead'], { stdio: 'inherit' })
  if (compiled.status !== 0) throw new Error(`Cannot create the code cache: exit status ${compiled.status}`)
}
