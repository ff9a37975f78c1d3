import { describe, expect, it } from 'vitest'
import { doCliTest } from './support/doCliTest.js'

async function doTest (...args: string[]): Promise<string> {
  return await doCliTest({ args, fakes: 0 })
}

describe('runCli', () => {
  it('shows commands when there are no arguments', async () => {
    expect(await doTest()).toMatchInlineSnapshot(`
      "Checks records and shows what instances report (fescuespoke)

      USAGE fescuespoke check-records|status|audit|metrics|explain

      COMMANDS

        check-records    Checks record files before they are published
               status    Shows the status of one instance or of the fleet
                audit    Shows the changes that one instance has seen
              metrics    Shows the metrics of one instance
              explain    Explains why a request went where it went

      Use fescuespoke <command> --help for more information about a command.
      exit 2"
    `)
  })

  it('shows the options of a command', async () => {
    expect(await doTest('explain', '--help')).toMatchInlineSnapshot(`
      "Explains why a request went where it went (fescuespoke explain)

      USAGE fescuespoke explain [OPTIONS] <REQUEST>

      ARGUMENTS

        REQUEST    Id of the request, as in its accepted event (Required)

      OPTIONS

           --fleet=<urls>    Base URLs of the operator interfaces of some instances, with commas; all their members are asked
         --instance=<url>    Base URL of one instance's operator interface
        --timeout-ms=<ms>    Longest wait for one instance (Default: 2000)
                   --json    Print JSON for programs

      exit 0"
    `)
  })

  it.each([
    ['an unknown command', ['publish']],
    ['an unknown option', ['status', '--instance', 'http://h:1', '--watch']],
    ['no instance', ['status']],
    ['two ways to name an instance', ['status', '--instance', 'http://h:1', '--fleet', 'http://h:1']],
    ['an address that is no URL', ['metrics', '--instance', 'h:1']],
    ['a timeout that is no number', ['metrics', '--instance', 'http://h:1', '--timeout-ms', 'soon']],
    ['a position that is no number', ['audit', '--instance', 'http://h:1', '--after', 'x']],
    ['no request', ['explain', '--instance', 'http://h:1']],
    ['no files', ['check-records']],
    ['a file that is not there', ['check-records', 'no-such-file.json']]
  ])('refuses %s', async (_, args) => {
    expect(await doTest(...args)).toMatchSnapshot()
  })
})
