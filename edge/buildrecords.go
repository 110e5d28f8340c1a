package edge

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"crocuslug/builds"
	"crocuslug/ident"
	"crocuslug/store"
	"crocuslug/unit"
)

// buildsPrefix is the prefix of the store keys that name services with several builds. What instances know
// of builds is lost if all of them are lost at the same moment, and those that start then would take the
// only build that is left for the one at which every stream began.
const buildsPrefix = "crocuslug/builds/"

// Times of these entries. An entry is kept until no stream that began while there were two builds can be
// taken up any more.
const (
	buildRecordLife  = 2 * time.Minute // as builds.Settings.Life
	buildRecordLease = buildRecordLife + renewInterval
	buildRecordCheck = 500 * time.Millisecond
)

// buildRecord is the value of such an entry.
type buildRecord struct {
	Service ident.Service
}

// ownRecord is an entry that this instance has written.
type ownRecord struct {
	lease   store.Lease
	renewed time.Time
}

// keepBuildRecords writes the entries while this instance watches the store, until the instance ends.
func (e *Edge) keepBuildRecords() {
	own := make(map[ident.Service]ownRecord)
	for e.ctx.Err() == nil {
		if e.view.Watcher() {
			for _, s := range e.builds.Report(e.timer.Now()) {
				if s.LastKnown == 0 { // there are several now
					e.keepBuildRecord(s.Service, own)
				}
			}
		}
		e.sleep(buildRecordCheck)
	}
}

// keepBuildRecord writes the entry of a service if there is none, or renews the lease of the one that this
// instance has written.
func (e *Edge) keepBuildRecord(service ident.Service, own map[ident.Service]ownRecord) {
	now := e.timer.Now()
	r, ok := own[service]
	switch {
	case ok && now.Sub(r.renewed) < renewInterval || !ok && e.buildsRecorded(service):
		return
	case ok:
		err := e.store.Renew(e.ctx, r.lease)
		if err == nil {
			own[service] = ownRecord{r.lease, now}
		} else if store.Absent.Has(err) {
			delete(own, service)
			e.setBuildsRecorded(service, false)
		}
		return
	}
	lease, err := e.writeBuildRecord(service)
	switch {
	case err == nil:
		own[service] = ownRecord{lease, now}
		e.log.Info().Str("Service", string(service)).Msg("several software versions recorded in the store")
	case store.Conflict.Has(err):
		e.setBuildsRecorded(service, true) // another instance was first
	default:
		e.log.Info().Str("Service", string(service)).Err(err).Msg("could not record in the store that there are several software versions; trying again")
	}
}

// writeBuildRecord writes the entry of a service under a new lease.
func (e *Edge) writeBuildRecord(service ident.Service) (store.Lease, error) {
	value, err := json.Marshal(buildRecord{service})
	if err != nil {
		return 0, err
	}
	lease, err := e.store.Grant(e.ctx, max(buildRecordLease, e.cfg.MinLease.Std()))
	if err != nil {
		return 0, err
	}
	if _, err := e.store.Put(e.ctx, buildsPrefix+string(service), value, 0, lease); err != nil {
		if rerr := e.store.Revoke(e.ctx, lease); rerr != nil {
			e.log.Debug().Err(rerr).Msg("lease not revoked; it expires")
		}
		return 0, err
	}
	e.setBuildsRecorded(service, true)
	return lease, nil
}

// applyBuildRecord takes what an entry says: its service has several builds, or had lately.
func (e *Edge) applyBuildRecord(entry store.Entry, now time.Time) {
	service := ident.Service(strings.TrimPrefix(entry.Key, buildsPrefix))
	e.setBuildsRecorded(service, !entry.Deleted)
	var r buildRecord
	if entry.Deleted {
		return
	}
	err := json.Unmarshal(entry.Value, &r)
	if err == nil && r.Service != service {
		err = fmt.Errorf("service %q: want that of the key", r.Service)
	}
	if err != nil {
		e.logOddEntry(entry.Key, entry.Version, err, "entry of software versions could not be decoded; its service counts as one with several")
	}
	// Since when is not known, so that no build is taken for the only one before.
	e.builds.Merge([]builds.State{{Service: service, Since: unit.Duration(buildRecordLease)}}, now)
}

func (e *Edge) buildsRecorded(service ident.Service) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recordedBuilds[service]
}

func (e *Edge) setBuildsRecorded(service ident.Service, recorded bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if recorded {
		e.recordedBuilds[service] = true
	} else {
		delete(e.recordedBuilds, service)
	}
}

// forgetBuildRecords forgets which entries there are, before all are read.
func (e *Edge) forgetBuildRecords() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.recordedBuilds)
}
