// Exits with status 0 if node_modules was installed from the current lock file; `--stamp` records that it was.
import { createHash } from 'node:crypto'
import { readFileSync, writeFileSync } from 'node:fs'

const STAMP = 'node_modules/.installed_from'
const lockFileHash = createHash('sha256').update(readFileSync('package-lock.json')).digest('hex')

function readStamp () {
  try {
    return readFileSync(STAMP, 'utf8')
  } catch {
    return ''
  }
}

if (process.argv.includes('--stamp')) writeFileSync(STAMP, lockFileHash)
else process.exitCode = readStamp() === lockFileHash ? 0 : 1
