import { readFile } from 'node:fs/promises'
import { createValidator, formatProblem, settingsSchema, type Settings } from '@fescuespoke/schema'
import { parse } from 'ini'
import { Result } from 'true-myth'

const checkSettings = createValidator<Settings>('settings', 'Settings')

const SECTIONS = Object.keys(settingsSchema.definitions.Settings.properties)

/**
 * Reads and checks a settings file. Every mistake is described with its section, key, value and what is allowed.
 * @param path - Path of the INI file.
 */
export async function readSettings (path: string): Promise<Result<Settings, string[]>> {
  try {
    return parseSettings(await readFile(path, 'utf8'))
  } catch (error) {
    return Result.err([`${path}: ${(error as Error).message}`])
  }
}

/**
 * Parses and checks the text of a settings file.
 * @param text - Text in INI form.
 */
export function parseSettings (text: string): Result<Settings, string[]> {
  const parsed: Record<string, unknown> = structuredClone(parse(text))
  for (const section of SECTIONS) parsed[section] ??= {}
  return checkSettings(parsed).mapErr(problems => problems.map(formatProblem))
}
