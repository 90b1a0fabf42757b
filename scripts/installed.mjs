// Exits 0 when node_modules was installed from the lock file as it stands; `--stamp` records that it was.
import { createHash } from 'node:crypto'
import { readFileSync, writeFileSync } from 'node:fs'

const STAMP = 'node_modules/.installed_from'
const wanted = createHash('sha256').update(readFileSync('package-lock.json')).digest('hex')

function installed () {
  try {
    return readFileSync(STAMP, 'utf8')
  } catch {
    return ''
  }
}

if (process.argv.includes('--stamp')) writeFileSync(STAMP, wanted)
else process.exitCode = installed() === wanted ? 0 : 1
