#!/usr/bin/env node
import { createLogger, type Logger, ProcessSignals } from '@fescuespoke/common'
import { type Settings } from '@fescuespoke/schema'
import { defineCommand, runMain } from 'citty'
import { Instance } from './instance/Instance.js'
import { readSettings } from './settings/readSettings.js'

/** Exit statuses of the daemon, documented in docs/running.md. */
const EXIT_STATUSES = { stopped: 0, badSettings: 2, cannotListen: 3 } as const

const command = defineCommand({
  meta: { name: 'fescuespoked', description: 'Runs the daemon of one instance' },
  args: {
    settings: { type: 'string', description: 'Path of the INI settings file', required: true },
    'check-settings': { type: 'boolean', description: 'Check the settings and exit' }
  },
  run: async ({ args }) => {
    const settings = await readSettings(args.settings)
    if (settings.isErr) {
      for (const problem of settings.error) console.error(problem)
      process.exitCode = EXIT_STATUSES.badSettings
      return
    }
    if (args['check-settings'] === true) console.log('settings are valid')
    else await runDaemon(settings.value)
  }
})

async function runDaemon (settings: Settings): Promise<void> {
  const logger = createLogger({ instance: settings.instance.id, level: settings.log.level })
  const instance = Instance.create({ settings, logger })
  const started = await instance.start()
  if (started.isErr) {
    logger.error({ reason: started.error }, 'cannot listen')
    process.exitCode = EXIT_STATUSES.cannotListen
    await instance.stop()
    return
  }
  handleSignals(instance, logger)
}

/** Stops on the first signal to stop; what arrives later must not end the process sooner. */
function handleSignals (instance: Instance, logger: Logger): void {
  ProcessSignals.create({
    stop: () => { instance.drain().finally(() => process.exit(EXIT_STATUSES.stopped)) },
    ignore: signal => logger.info({ signal }, 'signal ignored while stopping'),
    reload: () => logger.info('settings are read at the start only')
  })
}

runMain(command)
