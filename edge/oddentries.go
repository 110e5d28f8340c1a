package edge

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/registry"
	"crocuslug/store"
)

// decodeUpstream decodes the entry of an upstream. It returns false for an entry that names no upstream to
// use, and removes the upstream that the entry named before. source says by what it became known.
func (e *Edge) decodeUpstream(entry store.Entry, source string, now time.Time) (directory.Upstream, bool) {
	u, err := e.ports.DecodeUpstream(entry)
	if err == nil {
		return u, true
	}
	e.removeReplaced(e.upstreamOf(entry.Key), entry.Version, err, source, now)
	return directory.Upstream{}, false
}

// usableUpstreams returns those of list that name an upstream to use. A peer of an older build may also report
// others.
func (e *Edge) usableUpstreams(list []directory.Upstream, from ident.Instance, now time.Time) []directory.Upstream {
	out := make([]directory.Upstream, 0, len(list))
	for _, u := range list {
		if err := u.Check(); err != nil {
			e.removeReplaced(u.ID, u.Revision, err, "peer "+string(from), now)
			continue
		}
		out = append(out, u)
	}
	return out
}

// upstreamOf returns the id of the upstream whose entry has a key.
func (e *Edge) upstreamOf(key string) ident.Upstream {
	return ident.Upstream(strings.TrimPrefix(key, e.ports.UpstreamsPrefix))
}

// removeReplaced removes an upstream whose entry names none to use at a version, for the reason given.
func (e *Edge) removeReplaced(id ident.Upstream, at store.Version, reason error, source string, now time.Time) {
	e.logOddEntry(e.ports.UpstreamsPrefix+string(id), at, reason, "upstream entry names no upstream to use; ignoring it")
	if e.registry.RemoveReplaced(id, at, now) {
		e.logRemovals(registry.Removals{Gone: []ident.Upstream{id}}, at, source)
	}
}

// maxHostBytes is the length of the longest name of a host.
const maxHostBytes = 253

// checkPeerAddress returns an error unless an address is a host and a port to which a connection can be
// opened.
func checkPeerAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" || len(host) > maxHostBytes {
		return fmt.Errorf("host of %d bytes and port %q: want 1 to %d bytes and a port from 1 to 65535", len(host), port, maxHostBytes)
	}
	return nil
}

// maxReason is the length in characters of a reason in the log, which may repeat parts of the entry.
const maxReason = 300

// logOddEntry logs an entry of the store that names nothing to use. It logs each version of an entry once,
// however often that is read.
func (e *Edge) logOddEntry(key string, at store.Version, reason error, text string) {
	e.mu.Lock()
	known := e.oddEntries[key] == at
	e.oddEntries[key] = at
	e.mu.Unlock()
	if !known {
		e.log.Warn().Str("Key", key).Uint64("Revision", at.Revision()).Err(fmt.Errorf("%.*s", maxReason, reason)).Msg(text)
	}
}

// forgetOddEntry forgets an entry that was deleted.
func (e *Edge) forgetOddEntry(key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.oddEntries, key)
}

// forgetOddEntries forgets the entries that the store does not list any more.
func (e *Edge) forgetOddEntries(listed []store.Entry) {
	versions := make(map[string]store.Version)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, entry := range listed {
		if at, ok := e.oddEntries[entry.Key]; ok {
			versions[entry.Key] = at
		}
	}
	e.oddEntries = versions
}
