/** What a metric is: a growing number, a present value, or a distribution of values. */
export type MetricKind = 'counter' | 'gauge' | 'histogram'

/** Definition of one metric. */
export interface MetricDefinition {
  readonly kind: MetricKind
  /** Name in the text exposition. */
  readonly exposedName: string
  readonly help: string
  readonly labels: readonly string[]
  /** Labels whose values come from callers or records; they read `other` once the bound is reached. */
  readonly openLabels?: readonly string[]
  /** Bound on series before open labels read `other`. */
  readonly maxSeries?: number
}

/** Bound on series where a definition names none. */
export const DEFAULT_MAX_SERIES = 16

/** Every metric of an instance. Durations are in milliseconds. */
export const METRIC_DEFINITIONS = {
  outcomes: {
    kind: 'counter',
    exposedName: 'fescuespoke_outcomes_total',
    help: 'Requests that ended, by outcome.',
    labels: ['service', 'workspace', 'outcome'],
    openLabels: ['service', 'workspace'],
    maxSeries: 512
  },
  tokens: {
    kind: 'counter',
    exposedName: 'fescuespoke_tokens_total',
    help: 'Tokens received from model engines.',
    labels: ['service'],
    openLabels: ['service']
  },
  preemptions: {
    kind: 'counter',
    exposedName: 'fescuespoke_preemptions_total',
    help: 'Generations that lost their cache memory at an engine.',
    labels: ['service'],
    openLabels: ['service']
  },
  restarts: {
    kind: 'counter',
    exposedName: 'fescuespoke_restarts_total',
    help: 'Generations started anew because their engine was lost before a token was delivered.',
    labels: ['service'],
    openLabels: ['service']
  },
  stallTime: {
    kind: 'histogram',
    exposedName: 'fescuespoke_stall_time_milliseconds',
    help: 'Time in which a started answer produced no token beyond the expected interval, for each answer.',
    labels: ['service'],
    openLabels: ['service']
  },
  tokenInterval: {
    kind: 'histogram',
    exposedName: 'fescuespoke_token_interval_milliseconds',
    help: 'Time between two tokens of one answer.',
    labels: ['service'],
    openLabels: ['service']
  },
  firstToken: {
    kind: 'histogram',
    exposedName: 'fescuespoke_first_token_milliseconds',
    help: 'Time from the arrival of a request to its first token or reply.',
    labels: ['service'],
    openLabels: ['service']
  },
  queueWait: {
    kind: 'histogram',
    exposedName: 'fescuespoke_queue_wait_milliseconds',
    help: 'Time from the arrival of a request until a target is chosen.',
    labels: ['service'],
    openLabels: ['service']
  },
  requestsHeld: {
    kind: 'gauge',
    exposedName: 'fescuespoke_requests_held',
    help: 'Requests remembered, ended ones included.',
    labels: []
  },
  requestsQueued: {
    kind: 'gauge',
    exposedName: 'fescuespoke_requests_queued',
    help: 'Requests that wait for a target.',
    labels: []
  },
  acceptedRevision: {
    kind: 'gauge',
    exposedName: 'fescuespoke_accepted_revision',
    help: 'Accepted revision of the records.',
    labels: []
  },
  refusedRecords: {
    kind: 'gauge',
    exposedName: 'fescuespoke_refused_records',
    help: 'Published records that are refused at present.',
    labels: []
  },
  viewAge: {
    kind: 'gauge',
    exposedName: 'fescuespoke_view_age_milliseconds',
    help: 'Time since a view was last confirmed.',
    labels: ['view'],
    openLabels: ['view']
  },
  members: {
    kind: 'gauge',
    exposedName: 'fescuespoke_members',
    help: 'Other instances, by the state in which this one sees them.',
    labels: ['state']
  },
  controlBytes: {
    kind: 'counter',
    exposedName: 'fescuespoke_control_bytes_total',
    help: 'Bytes of control messages, by channel and direction.',
    labels: ['channel', 'direction'],
    openLabels: ['channel']
  },
  platformCalls: {
    kind: 'counter',
    exposedName: 'fescuespoke_platform_calls_total',
    help: 'Calls of the services of the platform, by service.',
    labels: ['platformService'],
    openLabels: ['platformService']
  },
  relayedRequests: {
    kind: 'counter',
    exposedName: 'fescuespoke_relayed_requests_total',
    help: 'Relayed requests that ended, by route and outcome.',
    labels: ['route', 'outcome'],
    openLabels: ['route'],
    maxSeries: 256
  },
  relayedRepeats: {
    kind: 'counter',
    exposedName: 'fescuespoke_relayed_repeats_total',
    help: 'Attempts of relayed requests beyond the first, by service and cause.',
    labels: ['service', 'cause'],
    openLabels: ['service'],
    maxSeries: 64
  },
  relayedAnswer: {
    kind: 'histogram',
    exposedName: 'fescuespoke_relayed_answer_milliseconds',
    help: 'Time from the arrival of a relayed request to the beginning of its answer.',
    labels: ['route'],
    openLabels: ['route']
  },
  movedRuns: {
    kind: 'counter',
    exposedName: 'fescuespoke_moved_runs_total',
    help: 'Moves of running generations off targets that leave, by result.',
    labels: ['result']
  },
  droppedLines: {
    kind: 'counter',
    exposedName: 'fescuespoke_dropped_log_lines_total',
    help: 'Log lines about requests that were left out to bound their number.',
    labels: []
  },
  processorTime: {
    kind: 'gauge',
    exposedName: 'fescuespoke_processor_time_milliseconds',
    help: 'Processor time used since the start of the process.',
    labels: []
  },
  heapBytes: {
    kind: 'gauge',
    exposedName: 'fescuespoke_heap_bytes',
    help: 'Used heap of the process.',
    labels: []
  },
  residentBytes: {
    kind: 'gauge',
    exposedName: 'fescuespoke_resident_bytes',
    help: 'Resident memory of the process.',
    labels: []
  }
} as const satisfies Record<string, MetricDefinition>

/** Name of a metric. */
export type MetricName = keyof typeof METRIC_DEFINITIONS

/** Names of the metrics of one kind. */
export type MetricNameOf<K extends MetricKind> = {
  [N in MetricName]: typeof METRIC_DEFINITIONS[N]['kind'] extends K ? N : never
}[MetricName]

/** Labels of a metric with their values. */
export type MetricLabels<N extends MetricName> = Readonly<Record<typeof METRIC_DEFINITIONS[N]['labels'][number], string>>
