package peerlink

import "github.com/rs/zerolog"

// gnetLogger writes log messages of gnet. Debug and info messages are logged one level
// lower.
type gnetLogger struct {
	log zerolog.Logger
}

// Debugf logs one message at trace level.
func (l gnetLogger) Debugf(format string, args ...any) { l.log.Trace().Msgf(format, args...) }

// Infof logs one message at debug level.
func (l gnetLogger) Infof(format string, args ...any) { l.log.Debug().Msgf(format, args...) }

// Warnf logs one message at warn level.
func (l gnetLogger) Warnf(format string, args ...any) { l.log.Warn().Msgf(format, args...) }

// Errorf logs one message at error level.
func (l gnetLogger) Errorf(format string, args ...any) { l.log.Error().Msgf(format, args...) }

// Fatalf logs one message at error level. It does not end the process.
func (l gnetLogger) Fatalf(format string, args ...any) { l.log.Error().Msgf(format, args...) }
