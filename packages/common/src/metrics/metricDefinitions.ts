/** Kind of a metric: an increasing count, a current value or a distribution of values. */
export type MetricKind = 'counter' | 'gauge' | 'histogram'

/** Definition of one metric. */
export interface MetricDefinition {
  readonly kind: MetricKind
  /** Name in the text exposition. */
  readonly exposedName: string
  readonly help: string
  readonly labels: readonly string[]
  /** Labels whose values come from callers or records. New series have `other` for them once `maxSeries` is reached. */
  readonly unboundedLabels?: readonly string[]
  /** Number of series above which the unbounded labels of new series get the value `other`. */
  readonly maxSeries?: number
}

/** Maximum number of series of a metric whose definition does not set one. */
export const DEFAULT_MAX_SERIES = 16

/** Definitions of all metrics of an instance. Durations are in milliseconds. */
export const METRIC_DEFINITIONS = {
  outcomes: {
    kind: 'counter',
    exposedName: 'fescuespoke_outcomes_total',
    help: 'Requests that ended, by outcome.',
    labels: ['service', 'workspace', 'outcome'],
    unboundedLabels: ['service', 'workspace'],
    maxSeries: 512
  },
  tokens: {
    kind: 'counter',
    exposedName: 'fescuespoke_tokens_total',
    help: 'Tokens received from model engines.',
    labels: ['service'],
    unboundedLabels: ['service']
  },
  preemptions: {
    kind: 'counter',
    exposedName: 'fescuespoke_preemptions_total',
    help: 'Generations that were preempted and lost their cache memory at an engine.',
    labels: ['service'],
    unboundedLabels: ['service']
  },
  restarts: {
    kind: 'counter',
    exposedName: 'fescuespoke_restarts_total',
    help: 'Generations restarted because their engine was lost before a token was delivered.',
    labels: ['service'],
    unboundedLabels: ['service']
  },
  harmfulRequests: {
    kind: 'counter',
    exposedName: 'fescuespoke_harmful_requests_total',
    help: 'Times that this instance began to refuse requests because targets crashed under the same request.',
    labels: []
  },
  stallTime: {
    kind: 'histogram',
    exposedName: 'fescuespoke_stall_time_milliseconds',
    help: 'Time beyond the expected interval in which a started answer produced no token, per answer.',
    labels: ['service'],
    unboundedLabels: ['service']
  },
  tokenInterval: {
    kind: 'histogram',
    exposedName: 'fescuespoke_token_interval_milliseconds',
    help: 'Time between consecutive tokens of one answer.',
    labels: ['service'],
    unboundedLabels: ['service']
  },
  firstToken: {
    kind: 'histogram',
    exposedName: 'fescuespoke_first_token_milliseconds',
    help: 'Time from the arrival of a request to its first token or reply.',
    labels: ['service'],
    unboundedLabels: ['service']
  },
  queueWait: {
    kind: 'histogram',
    exposedName: 'fescuespoke_queue_wait_milliseconds',
    help: 'Time from the arrival of a request until a target is selected.',
    labels: ['service'],
    unboundedLabels: ['service']
  },
  requestsHeld: {
    kind: 'gauge',
    exposedName: 'fescuespoke_requests_held',
    help: 'Requests kept in memory, including ended requests.',
    labels: []
  },
  requestsQueued: {
    kind: 'gauge',
    exposedName: 'fescuespoke_requests_queued',
    help: 'Requests waiting for a target.',
    labels: []
  },
  acceptedRevision: {
    kind: 'gauge',
    exposedName: 'fescuespoke_accepted_revision',
    help: 'Accepted configuration revision.',
    labels: []
  },
  refusedRecords: {
    kind: 'gauge',
    exposedName: 'fescuespoke_refused_records',
    help: 'Published records that are currently refused.',
    labels: []
  },
  viewAge: {
    kind: 'gauge',
    exposedName: 'fescuespoke_view_age_milliseconds',
    help: 'Time since a view was last confirmed.',
    labels: ['view'],
    unboundedLabels: ['view']
  },
  members: {
    kind: 'gauge',
    exposedName: 'fescuespoke_members',
    help: 'Other instances, by membership state as observed by this instance.',
    labels: ['state']
  },
  controlBytes: {
    kind: 'counter',
    exposedName: 'fescuespoke_control_bytes_total',
    help: 'Bytes of control messages, by channel and direction.',
    labels: ['channel', 'direction'],
    unboundedLabels: ['channel']
  },
  platformCalls: {
    kind: 'counter',
    exposedName: 'fescuespoke_platform_calls_total',
    help: 'Calls to platform services, by service.',
    labels: ['platformService'],
    unboundedLabels: ['platformService']
  },
  relayedRequests: {
    kind: 'counter',
    exposedName: 'fescuespoke_relayed_requests_total',
    help: 'Relayed requests that ended, by route and outcome.',
    labels: ['route', 'outcome'],
    unboundedLabels: ['route'],
    maxSeries: 256
  },
  cutRequests: {
    kind: 'counter',
    exposedName: 'fescuespoke_cut_requests_total',
    help: 'Relayed requests that may have run and have no complete answer, by outcome.',
    labels: ['outcome']
  },
  relayedRepeats: {
    kind: 'counter',
    exposedName: 'fescuespoke_relayed_repeats_total',
    help: 'Additional attempts of relayed requests after the first, by service and cause.',
    labels: ['service', 'cause'],
    unboundedLabels: ['service'],
    maxSeries: 64
  },
  relayedAnswer: {
    kind: 'histogram',
    exposedName: 'fescuespoke_relayed_answer_milliseconds',
    help: 'Time from the arrival of a relayed request to the start of its response.',
    labels: ['route'],
    unboundedLabels: ['route']
  },
  movedRuns: {
    kind: 'counter',
    exposedName: 'fescuespoke_moved_runs_total',
    help: 'Moves of running generations off leaving targets, by result.',
    labels: ['result']
  },
  engineReservations: {
    kind: 'counter',
    exposedName: 'fescuespoke_engine_reservations_total',
    help: 'Reservations of capacity at engines, by service and result.',
    labels: ['service', 'result'],
    unboundedLabels: ['service'],
    maxSeries: 64
  },
  admissions: {
    kind: 'counter',
    exposedName: 'fescuespoke_admissions_total',
    help: 'Requests for an engine while loads are known in part only, by service and result.',
    labels: ['service', 'result'],
    unboundedLabels: ['service'],
    maxSeries: 64
  },
  scheduledRetries: {
    kind: 'counter',
    exposedName: 'fescuespoke_scheduled_retries_total',
    help: 'Retry times of refused callers that were computed from the rate at which capacity opens, by service and kind.',
    labels: ['service', 'kind'],
    unboundedLabels: ['service'],
    maxSeries: 64
  },
  blamedParts: {
    kind: 'counter',
    exposedName: 'fescuespoke_blamed_prompt_parts_total',
    help: 'Times that parts of prompts were blamed for crashes of engines.',
    labels: []
  },
  judgedSpeeds: {
    kind: 'counter',
    exposedName: 'fescuespoke_judged_target_speeds_total',
    help: 'Times that a target began to count as slower or faster than others, or as ordinary again, by kind.',
    labels: ['kind']
  },
  unansweredRequests: {
    kind: 'counter',
    exposedName: 'fescuespoke_unanswered_requests_total',
    help: 'Requests without a complete answer when this instance closed the connection of their caller, by reason.',
    labels: ['reason']
  },
  endedBuffers: {
    kind: 'counter',
    exposedName: 'fescuespoke_ended_buffers_total',
    help: 'Connections that were closed because the process buffered too many bytes for all of them, by what the buffer held.',
    labels: ['kind']
  },
  droppedLines: {
    kind: 'counter',
    exposedName: 'fescuespoke_dropped_log_lines_total',
    help: 'Log lines about requests that were dropped to limit log volume.',
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
    help: 'Heap memory used by the process.',
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

/** Values of the labels of a metric by name. */
export type MetricLabels<N extends MetricName> = Readonly<Record<typeof METRIC_DEFINITIONS[N]['labels'][number], string>>
