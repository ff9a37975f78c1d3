import { PeerNetwork } from '@fescuespoke/peers'
import { type InstanceContext } from './InstanceContext.js'
import { type TransportFactory } from './InstanceOptions.js'

/**
 * Creates the factory for the peer transport over TCP.
 * @param context - Settings and services of the instance.
 */
export function createTcpTransportFactory ({ settings, clock, random, logger, metrics, bufferBudget }: InstanceContext): TransportFactory {
  const { id, peerHost, peerPort } = settings.instance
  return (findPeerAddress, incarnation) => {
    const network = PeerNetwork.create({
      ...settings.instance,
      instance: id,
      incarnation,
      clock,
      random,
      logger,
      bufferBudget,
      findPeerAddress,
      host: peerHost,
      port: peerPort,
      limits: { maxFrameBytes: settings.peers.maxFrameBytes }
    })
    addTrafficMetrics(network, metrics)
    return network
  }
}

function addTrafficMetrics (network: PeerNetwork, metrics: InstanceContext['metrics']): void {
  const sent = metrics.getCounter('controlBytes', { channel: 'peers', direction: 'out' })
  const received = metrics.getCounter('controlBytes', { channel: 'peers', direction: 'in' })
  let previous = network.getCounters()
  metrics.addUpdater(() => {
    const current = network.getCounters()
    sent.add(current.bytesOut - previous.bytesOut)
    received.add(current.bytesIn - previous.bytesIn)
    previous = current
  })
}
