package peerlink

import "github.com/rs/zerolog"

// engineLog writes the log of gnet.
type engineLog struct {
	log zerolog.Logger
}

// Debugf writes one event.
func (l engineLog) Debugf(format string, args ...any) { l.log.Trace().Msgf(format, args...) }

// Infof writes one event.
func (l engineLog) Infof(format string, args ...any) { l.log.Debug().Msgf(format, args...) }

// Warnf writes one event.
func (l engineLog) Warnf(format string, args ...any) { l.log.Warn().Msgf(format, args...) }

// Errorf writes one event.
func (l engineLog) Errorf(format string, args ...any) { l.log.Error().Msgf(format, args...) }

// Fatalf writes one event; the link does not end the process.
func (l engineLog) Fatalf(format string, args ...any) { l.log.Error().Msgf(format, args...) }
