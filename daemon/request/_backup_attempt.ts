/** An attempt that was started while the current one of its request is silent. */
import type { AnswerHead } from '../../core/answer/index.ts'
import { AttemptError } from '../../core/outcome/index.ts'
import type { EndpointView } from '../../core/routing/index.ts'
import type { Attachment, AttemptSink } from '../../endpoints/index.ts'
import type { AttemptTracker } from './attempt_tracker.ts'

/** A running backup. */
export interface BackupAttempt {
  view: EndpointView
  tracker: AttemptTracker
  attachment: Attachment
}

/** What becomes of a backup. */
export interface BackupEvents {
  /** Returns false if the answer cannot continue what the caller has. */
  mayAnswer (head: AnswerHead | undefined): boolean
  /** Called before the first part of the answer is passed on: the backup becomes the current attempt. */
  onAnswer (): void
  onError (err: AttemptError): void
}

/**
 * Returns a sink that reports the first answer of a backup before it passes it on to the sink of its attempt.
 * @param isBackup Returns false once the attempt is the current one, or was stopped.
 */
export function backupSink<P> (sink: AttemptSink<P>, isBackup: () => boolean, { mayAnswer, onAnswer, onError }: BackupEvents): AttemptSink<P> {
  let head: AnswerHead | undefined
  const answers = (answerHead: AnswerHead | undefined) => {
    if (!isBackup()) return true
    if (mayAnswer(answerHead)) onAnswer()
    else onError(new AttemptError('Cannot use answer: it does not continue the events that were passed on', { point: 'foreign-answer' }))
    return !isBackup() && mayAnswer(answerHead)
  }
  return {
    ...sink,
    onHead: (arrived) => {
      head = arrived
      sink.onHead?.(arrived)
    },
    onChunk: (offset, pieces) => { if (answers(head)) sink.onChunk(offset, pieces) },
    onEnd: (total, options) => { if (answers(head)) sink.onEnd(total, options) },
    onError: (err) => (isBackup() ? onError(err) : sink.onError(err))
  }
}
