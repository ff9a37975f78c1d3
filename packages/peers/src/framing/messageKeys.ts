/**
 * Names of fields that are sent as their position in this list, counted from 1. New names go to the end and none is
 * ever moved or removed, since both sides of a connection may run different versions. Other names are sent as text.
 */
export const MESSAGE_KEYS: readonly string[] = [
  'kind', 'id', 'message', 'type',
  'protocol', 'fleet', 'instance', 'incarnation', 'availabilityZone', 'region', 'nonce', 'proof',
  'counter', 'state', 'url', 'peerAddress',
  'news', 'members', 'revision', 'listVersion', 'listAgeMs', 'reached',
  'haveRevision', 'values', 'haveVersion', 'version', 'ageMs', 'entries', 'role',
  'target', 'tokens', 'sequences', 'validForMs', 'priority', 'histograms',
  'heldTokens', 'heldSequences', 'wantTokens', 'wantSequences',
  'heldMean', 'heldDeviation', 'totalTokens', 'totalSequences',
  'key', 'text', 'digest', 'keptDigest', 'afterKey', 'nextAfterKey', 'baseRevision', 'deleted', 'kept', 'baseVersion', 'removed',
  'items', 'running', 'unreadTokens', 'viewAgeMs'
]
