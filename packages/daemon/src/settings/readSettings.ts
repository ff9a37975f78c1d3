import { readFile } from 'node:fs/promises'
import { createValidator, formatProblem, settingsSchema, type Settings } from '@fescuespoke/schema'
import { parse } from 'ini'
import { Result } from 'true-myth'

const checkSettings = createValidator<Settings>('settings', 'Settings')

const SECTIONS = Object.keys(settingsSchema.definitions.Settings.properties)

/**
 * Reads and validates a settings file. Each error message names the section, the key, the value and the allowed values.
 * @param path - Path of the INI file.
 * @returns The settings, or one message per invalid setting.
 */
export async function readSettings (path: string): Promise<Result<Settings, string[]>> {
  try {
    return parseSettings(await readFile(path, 'utf8'))
  } catch (error) {
    return Result.err([`${path}: ${(error as Error).message}`])
  }
}

/**
 * Parses and validates the text of a settings file.
 * @param text - Text in INI format.
 * @returns The settings, or one message per invalid setting.
 */
export function parseSettings (text: string): Result<Settings, string[]> {
  const parsed: Record<string, unknown> = structuredClone(parse(text))
  for (const section of SECTIONS) parsed[section] ??= {}
  return checkSettings(parsed).mapErr(problems => problems.map(formatProblem))
}
