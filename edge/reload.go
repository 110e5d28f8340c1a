package edge

import (
	"crocuslug/ident"
	"crocuslug/settings"
)

// Reload applies settings that were read again: it adds their seeds to the peers. Addresses change
// only at the next start. An err that is not nil says why the settings could not be read; those in
// force stay.
func (e *Edge) Reload(cfg settings.Edge, err error) {
	if err != nil {
		e.log.Error().Err(err).Msg("settings could not be read; keeping those in force")
		return
	}
	now := e.timer.Now()
	for _, s := range cfg.Seeds {
		e.addPeer(presence{Instance: ident.Instance(s)}, now)
	}
	e.log.Info().Int("Seeds", len(cfg.Seeds)).Msg("settings reloaded")
}
