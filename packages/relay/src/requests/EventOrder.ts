import { type StreamEvent } from './EventSplitter.js'

/** Checks that the events of one attempt follow each other, and the last event that the caller received from an earlier attempt. */
export class EventOrder {
  /**
   * Creates the order of the events of an attempt.
   * @param lastEventId - Id of the last event that the caller received before; undefined if it received none with an id.
   */
  static create (lastEventId: string | undefined): EventOrder {
    return new EventOrder(lastEventId)
  }

  /** Whether the next event with an id decides whether the attempt continues the stream. */
  private mustContinue: boolean

  /** @internal */
  private constructor (private lastEventId: string | undefined) {
    this.mustContinue = lastEventId !== undefined
  }

  /**
   * Adds events.
   * @param events - The next events of the attempt.
   * @returns False when one of them does not follow, or is the head of another answer.
   */
  addEvents (events: readonly StreamEvent[]): boolean {
    return events.every(event => this.addEvent(event))
  }

  private addEvent ({ id, isComment, hasAnswerHead }: StreamEvent): boolean {
    if (hasAnswerHead) return false
    if (id === undefined) return isComment || !this.mustContinue
    const doesFollow = this.lastEventId === undefined || !(Number(id) <= Number(this.lastEventId))
    this.lastEventId = id
    this.mustContinue = false
    return doesFollow
  }
}
