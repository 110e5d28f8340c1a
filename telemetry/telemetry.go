// Package telemetry sets up traces and logs.
//
// Spans go to an OTLP receiver over HTTP if one is set, and to a file or
// standard output otherwise. Logs are lines of key=value pairs, one for each event.
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

// Tracing makes spans and sends them on.
type Tracing struct {
	Tracer   trace.Tracer
	provider *sdktrace.TracerProvider
	file     *os.File
}

// New returns the tracing that cfg asks for, or one that makes no spans if cfg
// is empty. It returns an error if the file cannot be opened.
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

// fileMode is the mode of the file of spans.
const fileMode = 0o600

// stopLimit bounds the sending of what is left at the end.
const stopLimit = 3 * time.Second

// Stop sends what is left and ends the tracing.
func (t *Tracing) Stop() {
	if t.provider == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	// Spans that cannot be sent at the end are lost; nothing waits for them.
	_ = t.provider.Shutdown(ctx)
	if t.file != nil {
		_ = t.file.Close()
	}
}

// NewLog returns a logger that writes lines of key=value pairs to w. An empty
// or unknown level means info.
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
		FormatLevel:     pair("Level"),
		FormatMessage:   pair("Event"),
		FormatTimestamp: pair("Time"),
		// zerolog names the field of Err for the whole process; its own name
		// is not in Pascal case.
		FormatErrFieldName: func(any) string { return "Error=" },
	}
	return zerolog.New(out).Level(l).Hook(stamp{clock: time.Now})
}

// stamp sets the time of each line. The library's own field has whole seconds,
// too coarse to order what several instances say of one request.
type stamp struct {
	clock func() time.Time
}

// Run implements zerolog.Hook.
func (s stamp) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, s.clock().UTC().Format(TimeFormat))
}

// TimeFormat is the form of the time of a log line.
const TimeFormat = "2006-01-02T15:04:05.000000Z"
