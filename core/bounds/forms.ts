/** Checks of the form of values that another program sent. They copy nothing, since messages between daemons pass them on hot paths. */

/** Returns whether a value has a form. */
export type Form = (value: unknown) => boolean

/** Longest name that another program may use, in UTF-16 code units. */
const MAX_NAME_CHARS = 4096

const MAX_WAIT_MS = 2 ** 31 - 1

/** Any text. */
export const isText: Form = (value) => typeof value === 'string'
/** A text that names something: not empty, and not longer than any that is used. */
export const isName: Form = (value) => typeof value === 'string' && value.length > 0 && value.length <= MAX_NAME_CHARS
/** A number that is not infinite. */
export const isFiniteNumber: Form = (value) => Number.isFinite(value)
/** A number, also an infinite one. */
export const isNumber: Form = (value) => typeof value === 'number' && !Number.isNaN(value)
/** A time that a timer can wait for, in milliseconds; a negative one has passed. Timers end at once for longer ones. */
export const isWait: Form = (value) => Number.isFinite(value) && (value as number) <= MAX_WAIT_MS
/** A finite number that is not negative. */
export const isAmount: Form = (value) => Number.isFinite(value) && (value as number) >= 0
/** An integer that is not negative, and that can be counted on. */
export const isCount: Form = (value) => Number.isSafeInteger(value) && (value as number) >= 0
/** True or false. */
export const isFlag: Form = (value) => typeof value === 'boolean'
/** Anything. */
export const isAnything: Form = () => true

/** A value of a form, or undefined. */
export function optional (form: Form): Form {
  return (value) => value === undefined || form(value)
}

/** A value of a form, or null. */
export function orNull (form: Form): Form {
  return (value) => value === null || form(value)
}

/** A list whose items have a form. */
export function listOf (form: Form): Form {
  return (value) => Array.isArray(value) && value.every(form)
}

/** A list that begins with items of these forms; further ones are allowed. Those at the end that bear undefined may be missing. */
export function tupleOf (...forms: readonly Form[]): Form {
  return (value) => Array.isArray(value) && forms.every((form, i) => form(value[i]))
}

/** An object whose own fields have these forms. Others are allowed, so that newer versions may add some. */
export function objectOf (fields: Readonly<Record<string, Form>>): Form {
  const forms = Object.entries(fields)
  return (value) => typeof value === 'object' && value !== null && !Array.isArray(value) && forms.every(([name, form]) => form(Object.hasOwn(value, name) ? (value as Record<string, unknown>)[name] : undefined))
}

/** One of these texts. */
export function oneOf (...texts: readonly string[]): Form {
  const known = new Set<unknown>(texts)
  return (value) => known.has(value)
}
