import { describe, expect, it } from 'vitest'
import { doCliTest } from './support/doCliTest.js'

async function doTest (...args: string[]): Promise<string> {
  return await doCliTest({ args, fakeCount: 0 })
}

describe('runCli', () => {
  it('lists the commands when there are no arguments', async () => {
    expect(await doTest()).toMatchInlineSnapshot(`
      "Checks configuration records and shows the state of instances (fescuespoke)

      USAGE fescuespoke check-records|status|audit|metrics|explain

      COMMANDS

        check-records    Checks record files before they are published
               status    Shows the status of one instance or of the fleet
                audit    Shows the audit trail of one instance
              metrics    Shows the metrics of one instance
              explain    Explains the routing of a request

      Use fescuespoke <command> --help for more information about a command.
      exit 2"
    `)
  })

  it('shows the options of a command', async () => {
    expect(await doTest('explain', '--help')).toMatchInlineSnapshot(`
      "Explains the routing of a request (fescuespoke explain)

      USAGE fescuespoke explain [OPTIONS] <REQUEST>

      ARGUMENTS

        REQUEST    Id of the request, as in its accepted event (Required)

      OPTIONS

           --fleet=<urls>    Comma-separated base URLs of the operator interfaces of one or more instances; all members that they list are queried
         --instance=<url>    Base URL of one instance's operator interface
        --timeout-ms=<ms>    Maximum time to wait for one instance (Default: 2000)
                   --json    Print machine-readable JSON

      exit 0"
    `)
  })

  it.each([
    ['an unknown command', ['publish']],
    ['an unknown option', ['status', '--instance', 'http://h:1', '--watch']],
    ['a missing instance', ['status']],
    ['both an instance and a fleet', ['status', '--instance', 'http://h:1', '--fleet', 'http://h:1']],
    ['an invalid base URL', ['metrics', '--instance', 'h:1']],
    ['a timeout that is not a number', ['metrics', '--instance', 'http://h:1', '--timeout-ms', 'soon']],
    ['a sequence number that is not a number', ['audit', '--instance', 'http://h:1', '--after', 'x']],
    ['a missing request id', ['explain', '--instance', 'http://h:1']],
    ['missing files', ['check-records']],
    ['a file that does not exist', ['check-records', 'no-such-file.json']]
  ])('refuses %s', async (_, args) => {
    expect(await doTest(...args)).toMatchSnapshot()
  })
})
