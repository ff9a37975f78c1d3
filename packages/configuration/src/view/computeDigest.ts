import { createHash } from 'node:crypto'

/**
 * Computes a digest of published values that does not depend on the order of their keys.
 * @param values - Published values, as JSON text by key.
 * @returns The SHA-256 digest, encoded as base64url.
 */
export function computeDigest (values: Readonly<Record<string, string>>): string {
  const hash = createHash('sha256')
  for (const key of Object.keys(values).sort()) {
    const text = values[key] as string
    hash.update(`${key.length}:${key}${text.length}:`).update(text)
  }
  return hash.digest('base64url')
}
