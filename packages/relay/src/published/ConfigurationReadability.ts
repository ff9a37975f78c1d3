import { type DecodedItem } from './PublishedDecoder.js'
import { comparePositions, type PublishedPosition, START_POSITION } from './PublishedPosition.js'

/** Knows whether the latest published configuration could be read, in whatever order the versions of it arrive. */
export class ConfigurationReadability {
  /** Creates a record without any configuration. */
  static create (): ConfigurationReadability {
    return new ConfigurationReadability()
  }

  private latest: { readonly position: PublishedPosition, readonly isReadable: boolean } = { position: START_POSITION, isReadable: true }

  /** @internal */
  private constructor () {}

  /**
   * Records a published key.
   * @param position - Position of the key.
   * @param kind - What it was decoded to; anything but a configuration is left out.
   */
  recordItem ({ era, revision }: PublishedPosition, kind: DecodedItem['kind']): void {
    const isConfiguration = kind === 'configuration' || kind === 'refused'
    if (isConfiguration && comparePositions({ era, revision }, this.latest.position) >= 0) this.latest = { position: { era, revision }, isReadable: kind === 'configuration' }
  }

  /** Returns whether the latest configuration could not be read. */
  isUnreadable (): boolean {
    return !this.latest.isReadable
  }
}
