package daemon

import (
	"slices"

	"crocuslug/generation"
	"crocuslug/ident"
	"crocuslug/peerlink"
	"crocuslug/rendezvous"
	"crocuslug/replica"
)

// buildPeers wires the link to the other instances.
func (d *Daemon) buildPeers(secret []byte) {
	d.link = peerlink.New(peerlink.Settings{
		Instance: d.id,
		Domain:   d.cfg.Domain,
		Listen:   d.cfg.PeerAddr,
		Secret:   secret,
	}, d.opt.Timer, d.log)
	d.link.Cut = d.opt.Cut
	d.link.CutFrom = d.opt.CutFrom
	d.link.OnDown(func(id ident.Instance) { d.owner.ReplicaLost(id) })
	for _, p := range d.cfg.Peers {
		d.Know(p.Instance, p.Domain, p.PeerAddr)
	}
}

// Know tells of another instance and where it takes peers.
func (d *Daemon) Know(id ident.Instance, domain ident.Domain, peerAddr string) {
	d.link.SetAddress(id, peerAddr)
	d.known.Store(id, domain)
}

// live returns the live instances of the failure domain, this one included.
func (d *Daemon) live() []ident.Instance {
	out := []ident.Instance{d.id}
	d.known.Range(func(id, domain any) bool {
		if domain == d.cfg.Domain {
			out = append(out, id.(ident.Instance))
		}
		return true
	})
	return out
}

// everyone returns all other instances that are known.
func (d *Daemon) everyone() []ident.Instance {
	var out []ident.Instance
	d.known.Range(func(id, _ any) bool {
		out = append(out, id.(ident.Instance))
		return true
	})
	return out
}

// holders returns the other live instances, the likeliest holder of n first.
func (d *Daemon) holders(n replica.Name) []ident.Instance {
	out := rendezvous.Order(string(n.Workspace)+"/"+string(n.Request), d.live())
	return slices.DeleteFunc(out, func(id ident.Instance) bool { return id == d.id })
}

func (d *Daemon) chooseReplica(spec generation.Spec, avoid []ident.Instance) ident.Instance {
	for _, id := range d.holders(replica.Name{Workspace: spec.Workspace, Request: spec.Request}) {
		if !slices.Contains(avoid, id) {
			return id
		}
	}
	return ""
}
