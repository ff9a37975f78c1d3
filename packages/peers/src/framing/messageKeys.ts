/**
 * Field names that are encoded as their position in this list, counted from 1. Other field names are encoded as text.
 * Append new names at the end and never move or remove a name, since the two sides of a connection may run different
 * versions.
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
  'items', 'running', 'unreadTokens', 'viewAgeMs', 'era', 'haveEra', 'limits', 'limit', 'startedAtMs', 'turns',
  'streams', 'requestId', 'origin', 'service', 'softwareVersion', 'services', 'windowMs', 'origins', 'isComplete', 'leavingTargets',
  'engineCrashes', 'suspects', 'parts', 'soundParts', 'part', 'hasBegun', 'isStoreLost',
  'coldTargets', 'remainingMs', 'possibleInstances', 'promptPrefixes', 'arrivedTokens',
  'targetCrashes', 'soundRequests', 'fingerprint', 'runMs'
]
