/** Creates a target record of schema version 2. */
export function createTargetItem (name: string, fields: object = {}): object {
  return { schemaVersion: 2, kind: 'target', name, url: `http://${name}`, pool: 'pool', availabilityZone: 'z1', region: 'r1', ...fields }
}

/** Creates a service record of schema version 2 that runs a model. */
export function createServiceItem (name: string, fields: object = {}): object {
  return { schemaVersion: 2, kind: 'service', name, pool: 'pool', runs: { model: 'm1' }, ...fields }
}

/** Creates published values with one value for each key. */
export function createValues (records: Record<string, unknown>): Record<string, string> {
  return Object.fromEntries(Object.entries(records).map(([key, record]) => [key, JSON.stringify(record)]))
}
