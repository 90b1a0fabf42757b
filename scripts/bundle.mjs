// Bundles the command line into target/ and compiles it ahead: a daemon that restarts loads its code in a fraction of the time.
import { spawnSync } from 'node:child_process'
import { copyFileSync } from 'node:fs'
import { build } from 'esbuild'

await build({
  entryPoints: { bundle: 'cli/main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  format: 'cjs',
  platform: 'node',
  target: 'node20',
  // Some packages' CommonJS builds load their own files by a path that a bundle does not keep.
  mainFields: ['module', 'main'],
  define: { 'import.meta.url': 'importMetaUrl' },
  banner: { js: "const importMetaUrl = require('node:url').pathToFileURL(__filename).href;" },
  // The demo and the benches run from the sources only.
  external: ['../demo/*', '../bench/*'],
  logLevel: 'warning'
})
copyFileSync('scripts/launcher.cjs', 'target/verbenatiller.cjs')

// A cache made under other flags of the engine is refused, so it is made under those of deploy/system.toml.
const made = spawnSync(process.execPath, ['--max-old-space-size=160', 'target/verbenatiller.cjs', 'compile-ahead'], { stdio: 'inherit' })
if (made.status !== 0) throw new Error(`Cannot compile ahead: exit status ${made.status}`)
