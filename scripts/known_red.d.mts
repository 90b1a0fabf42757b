/** Lines of the list of tests that are known to fail; none where there is no list. */
export function knownRed (path: string): string[]
/** A pattern of test names that leaves out just those. */
export function allBut (lines: readonly string[]): RegExp
