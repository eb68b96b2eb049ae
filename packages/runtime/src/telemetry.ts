import * as api from '@opentelemetry/api'
import type * as sdk from '@opentelemetry/sdk-trace-node'
import * as fs from 'node:fs'

/** Tracing settings. Tracing is off unless `otlpEndpoint` or `traceFile` is set. */
export interface TelemetrySettings {
  service: string
  instance: string
  otlpEndpoint?: string
  traceFile?: string
  /** Share of traces to record, from 0 to 1. */
  sampledShare: number
}

/** Starts tracing and returns a function that flushes the spans and stops it. Loads the SDK only if tracing is on. */
export async function startTelemetry (settings: TelemetrySettings): Promise<() => Promise<void>> {
  if (settings.otlpEndpoint === undefined && settings.traceFile === undefined) return async () => {}
  const sdk = await import('@opentelemetry/sdk-trace-node')
  const resources = await import('@opentelemetry/resources')
  const processors = await createSpanProcessors(settings, sdk)
  const provider = new sdk.NodeTracerProvider({
    resource: resources.resourceFromAttributes({ 'service.name': settings.service, 'service.instance.id': settings.instance }),
    sampler: new sdk.ParentBasedSampler({ root: new sdk.TraceIdRatioBasedSampler(settings.sampledShare) }),
    spanProcessors: processors
  })
  provider.register()
  return () => provider.shutdown()
}

/** Returns the tracer of this project's spans. */
export function tracer (): api.Tracer {
  return api.trace.getTracer('acaciaweir')
}

/** Returns a context that continues the trace of incoming W3C trace context headers. */
export function contextFromHeaders (headers: Record<string, unknown>): api.Context {
  return api.propagation.extract(api.context.active(), headers)
}

/** Returns the W3C trace context headers that propagate a span's trace to the next hop. */
export function headersFromSpan (span: api.Span): Record<string, string> {
  const headers: Record<string, string> = {}
  api.propagation.inject(api.trace.setSpan(api.context.active(), span), headers)
  return headers
}

/** Starts a span as a child of another span, or in a context. */
export function startSpan (name: string, parent: api.Span | api.Context, attributes: api.Attributes = {}): api.Span {
  const parentContext = 'spanContext' in parent ? api.trace.setSpan(api.context.active(), parent) : parent
  return tracer().startSpan(name, { attributes }, parentContext)
}

async function createSpanProcessors (settings: TelemetrySettings, sdk: typeof import('@opentelemetry/sdk-trace-node')): Promise<sdk.SpanProcessor[]> {
  const processors: sdk.SpanProcessor[] = []
  if (settings.otlpEndpoint !== undefined) {
    const exporter = await import('@opentelemetry/exporter-trace-otlp-http')
    processors.push(new sdk.BatchSpanProcessor(new exporter.OTLPTraceExporter({ url: settings.otlpEndpoint })))
  }
  if (settings.traceFile !== undefined) {
    processors.push(new sdk.BatchSpanProcessor(new JsonLinesExporter(settings.traceFile)))
  }
  return processors
}

/** Appends each finished span to a file as one line of JSON. */
class JsonLinesExporter implements sdk.SpanExporter {
  readonly #path: string

  constructor (path: string) {
    this.#path = path
  }

  export (spans: sdk.ReadableSpan[], done: (result: { code: number, error?: Error }) => void): void {
    const lines = spans.map((span) => JSON.stringify(spanRecord(span)) + '\n')
    fs.appendFile(this.#path, lines.join(''), (error) => {
      done(error === null ? { code: 0 } : { code: 1, error })
    })
  }

  async shutdown (): Promise<void> {}
}

function spanRecord (span: sdk.ReadableSpan): Record<string, unknown> {
  const [seconds, nanoseconds] = span.duration
  return {
    trace: span.spanContext().traceId,
    span: span.spanContext().spanId,
    parent: span.parentSpanContext?.spanId,
    name: span.name,
    service: span.resource.attributes['service.name'],
    instance: span.resource.attributes['service.instance.id'],
    durationMs: seconds * 1000 + nanoseconds / 1e6,
    attributes: span.attributes
  }
}
