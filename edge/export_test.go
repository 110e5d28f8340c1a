package edge

import (
	"time"

	"crocuslug/canary"
	"crocuslug/ident"
)

// SetDelivery replaces the decisions on the builds that get requests. It must be called before Start, of an instance with
// settings for deliveries.
func (e *Edge) SetDelivery(choose func(ident.Service) (canary.Choice, ident.Build), allowed func(ident.Build) bool) {
	e.deliveries.choose = func(s ident.Service, _ time.Time) (canary.Choice, ident.Build) { return choose(s) }
	e.deliveries.allowed = func(_ ident.Service, b ident.Build, _ time.Time) bool { return allowed(b) }
}
