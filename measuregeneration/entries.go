package measuregeneration

import (
	"time"

	"crocuslug/measure"
)

// Entries returns the experiments of this package.
func Entries() []measure.Entry {
	return []measure.Entry{
		lossEntry("engine-kill", "engines die and their connections are reset", killEngine),
		lossEntry("engine-freeze", "engines accept connections but do not answer", freezeEngine),
		lossEntry("silent-connection", "open connections to an engine fall silent while new ones work", silenceEngine),
		lossEntry("router-kill", "instances die and their connections are reset", killInstance),
		{Name: "resume-storm", Help: "one of five engines dies at 60% load", Run: runStorm},
		{Name: "crashing-request", Help: "a request that crashes engines is sent repeatedly", Run: runCrashing},
		{Name: "relay", Help: "cost of relaying a token at the engines' decoding rate", Run: runRelay},
		{Name: "relay-fast", Help: "highest number of tokens relayed per second", Run: runRelayFast},
		{Name: "resume-balance", Help: "resume latency against extra work for several silence limits", Run: runBalance},
	}
}

// Deployment and load of the experiments with one kind of loss.
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
	return measure.Entry{Name: name, Help: help, Run: runLoss(f)}
}
