// Package telemetry sets up traces and logs.
//
// Spans are exported to an OTLP receiver over HTTP if one is set, and otherwise
// to a file or the standard output. Logs are lines of key=value pairs, one line
// per event.
package telemetry

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"crocuslug/settings"
)

// Tracing creates spans and exports them.
type Tracing struct {
	Tracer   trace.Tracer
	provider *sdktrace.TracerProvider
	file     *os.File
}

// New returns a Tracing with the settings cfg, whose spans carry the name of the
// instance. If cfg names no destination, its Tracer creates no spans. New returns
// an error if the exporter cannot be created or the file cannot be opened.
func New(cfg settings.Trace, instance string) (*Tracing, error) {
	t := &Tracing{Tracer: noop.NewTracerProvider().Tracer("")}
	exporter, err := t.exporter(cfg)
	if err != nil || exporter == nil {
		return t, err
	}
	t.provider = sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.Share))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "crocuslug"),
			attribute.String("service.instance.id", instance))))
	t.Tracer = t.provider.Tracer("crocuslug")
	return t, nil
}

func (t *Tracing) exporter(cfg settings.Trace) (sdktrace.SpanExporter, error) {
	switch {
	case cfg.Endpoint != "":
		return otlptracehttp.New(context.Background(),
			otlptracehttp.WithEndpoint(cfg.Endpoint), otlptracehttp.WithInsecure())
	case cfg.File == "stdout":
		return stdouttrace.New()
	case cfg.File != "":
		f, err := os.OpenFile(cfg.File, os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
		if err != nil {
			return nil, errs.Wrap(err)
		}
		t.file = f
		return stdouttrace.New(stdouttrace.WithWriter(f))
	}
	return nil, nil
}

// fileMode is the mode of a file of spans.
const fileMode = 0o600

// stopTimeout is the time limit for exporting the remaining spans in Stop.
const stopTimeout = 3 * time.Second

// Stop exports the remaining spans, within a time limit, and ends the tracing.
func (t *Tracing) Stop() {
	if t.provider == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	// Spans that cannot be exported in time are lost.
	_ = t.provider.Shutdown(ctx)
	if t.file != nil {
		_ = t.file.Close()
	}
}

// NewLog returns a logger that writes lines of key=value pairs to w, from the
// given level up. An empty or unknown level means info.
func NewLog(w io.Writer, level string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		l = zerolog.InfoLevel
	}
	out := zerolog.ConsoleWriter{
		Out:             w,
		NoColor:         true,
		TimeFormat:      time.RFC3339Nano,
		PartsOrder:      []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
		FormatLevel:     formatPair("Level"),
		FormatMessage:   formatPair("Event"),
		FormatTimestamp: formatPair("Time"),
		// zerolog's name for the field of Err is not in Pascal case and can
		// only be changed for the whole process.
		FormatErrFieldName: func(any) string { return "Error=" },
	}
	return zerolog.New(out).Level(l).Hook(timestampHook{clock: time.Now})
}

// timestampHook adds the time to each line. The timestamp of zerolog has whole
// seconds, which is too coarse to order the lines of several instances on one
// request.
type timestampHook struct {
	clock func() time.Time
}

// Run implements zerolog.Hook.
func (s timestampHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, s.clock().UTC().Format(TimeFormat))
}

// TimeFormat is the format of the time of a log line, for time.Parse.
const TimeFormat = "2006-01-02T15:04:05.000000Z"
