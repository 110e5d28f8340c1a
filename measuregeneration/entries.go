package measuregeneration

import (
	"time"

	"crocuslug/measure"
)

// Entries returns the experiments of this package.
func Entries() []measure.Entry {
	return []measure.Entry{
		lossEntry("engine-kill", "engines die by a reset", killEngine),
		lossEntry("engine-freeze", "engines accept connections and answer nothing", freezeEngine),
		lossEntry("silent-connection", "open connections to an engine go silent while new ones work", silenceEngine),
		lossEntry("router-kill", "instances die by a reset", killInstance),
		{Name: "resume-storm", Help: "one of five engines dies at 60% load", Run: runStorm},
		{Name: "crashing-request", Help: "a request crashes engines and is sent again and again", Run: runCrashing},
		{Name: "relay", Help: "what the relay of a token costs at the engines' cadence", Run: runRelay},
		{Name: "relay-fast", Help: "how many tokens a second go through", Run: runRelayFast},
		{Name: "resume-balance", Help: "resume latency against extra work over the limits of silence", Run: runBalance},
	}
}

// Shape of the experiments with one kind of loss.
const (
	lossRounds    = 5
	lossCallers   = 60
	lossTokens    = 150
	lossInterval  = 20 * time.Millisecond // between tokens
	lossEngines   = 5
	lossInstances = 4
	lossSlots     = 32
)

func lossEntry(name, help string, f fault) measure.Entry {
	return measure.Entry{Name: name, Help: help, Run: lossRun(f)}
}
