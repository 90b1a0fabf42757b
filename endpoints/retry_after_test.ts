import { expect, test } from 'vitest'
import { parseRetryAfter } from './index.ts'

test.each<[string, string[], unknown]>([
  ['none', [], undefined],
  ['whole seconds', ['3'], { forMs: 3000 }],
  ['a fraction', [' 0.25 '], { forMs: 250 }],
  ['zero', ['0'], undefined],
  ['a day', ['86400'], { forMs: 86_400_000 }],
  ['more than a day', ['86401'], { invalid: '86401' }],
  ['a negative number', ['-3'], { invalid: '-3' }],
  ['a date', ['Fri, 04 Dec 2026 10:00:00 GMT'], { invalid: 'Fri, 04 Dec 2026 10:00:00 GMT' }],
  ['a word', ['soon'], { invalid: 'soon' }],
  ['an exponent', ['1e3'], { invalid: '1e3' }],
  ['nothing', [''], { invalid: '' }],
  ['two values', ['3', '4'], { invalid: '3, 4' }]
])('parses the time that an endpoint asks for: %s', (_what, values, parsed) => {
  expect(parseRetryAfter(values)).toEqual(parsed)
})
