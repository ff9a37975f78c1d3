import * as checks from '../generated/peerChecks.generated.js'

/** Checks of the messages between instances, by the type of the message. They are generated, so that no start compiles the schema. */
export const PEER_MESSAGE_CHECKS: ReadonlyMap<unknown, (message: unknown) => boolean> = new Map(Object.entries(checks))
