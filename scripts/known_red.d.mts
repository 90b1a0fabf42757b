/** Reads the list of known failing tests and returns its lines; empty if the file does not exist. */
export function knownRed (path: string): string[]
/** Returns a pattern that matches all test names except those in the given lines. */
export function allBut (lines: readonly string[]): RegExp
