/** A part of a prompt. An engine can hold it only together with all parts before it. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}
