package daemon

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"

	"crocuslug/generation"
	"crocuslug/ident"
	"crocuslug/instancelist"
	"crocuslug/members"
	"crocuslug/membership"
	"crocuslug/peerlink"
	"crocuslug/rendezvous"
	"crocuslug/replica"
)

// buildPeers wires the link to the other instances and the membership.
func (d *Daemon) buildPeers(secret []byte) {
	d.link = peerlink.New(peerlink.Settings{
		Instance: d.id,
		Domain:   d.cfg.Domain,
		Listen:   d.cfg.PeerAddr,
		Secret:   secret,
	}, d.opt.Timer, d.log)
	d.link.DropTo = d.opt.DropTo
	d.link.DropFrom = d.opt.DropFrom
	d.link.Tracer = d.opt.Tracer
	d.link.OnDown(func(id ident.Instance) { d.owner.ReplicaLost(id) })
	d.members = members.New(members.Settings{
		Self: membership.Member{
			Instance:    d.id,
			Name:        d.cfg.Name,
			Incarnation: uint64(d.opt.Timer.Now().UnixNano()),
			Domain:      d.cfg.Domain,
			Address:     d.publicAddress(),
			State:       membership.Live,
		},
		Seeds: d.configuredPeers(),
		Table: d.opt.Membership,
	}, d.link, d.opt.Timer, rand.New(rand.NewPCG(d.seed, 1)).IntN, d.log)
	d.members.OnChange(d.membersChanged)
	d.members.OnChange(d.applyLeavingNotices)
	d.members.OnChange(d.applyBans)
	if d.cfg.Platform.InstanceList != "" {
		list := instancelist.New(instancelist.Settings{Address: d.cfg.Platform.InstanceList})
		d.members.ReadInstanceList = func(ctx context.Context) ([]membership.Member, error) { return d.listMembers(ctx, list) }
	}
}

// publicAddress returns the address at which callers reach this instance.
func (d *Daemon) publicAddress() string {
	if d.cfg.Public != "" {
		return d.cfg.Public
	}
	return d.Addr()
}

// configuredPeers returns the peers named in the settings as members.
func (d *Daemon) configuredPeers() []membership.Member {
	var out []membership.Member
	for _, p := range d.cfg.Peers {
		out = append(out, membership.Member{
			Instance:    p.Instance,
			Name:        string(p.Instance),
			Domain:      p.Domain,
			Address:     p.Address,
			PeerAddress: p.PeerAddr,
			State:       membership.Live,
		})
	}
	return out
}

// maxOddLogged is the number of entries of one version of the instance list of which the log says that they
// name no instance.
const maxOddLogged = 10

// listMembers fetches the platform's instance list and returns it as members.
func (d *Daemon) listMembers(ctx context.Context, c *instancelist.Client) ([]membership.Member, error) {
	list, err := c.Fetch(ctx)
	if err != nil {
		return nil, err
	}
	if d.oddListed.Swap(list.Version) != list.Version {
		for _, reason := range list.Odd[:min(len(list.Odd), maxOddLogged)] {
			d.log.Warn().Uint64("Version", list.Version).Int("Odd", len(list.Odd)).Err(reason).Msg("instance list has an entry that names no instance; ignoring it")
		}
	}
	out := make([]membership.Member, 0, len(list.Instances))
	for _, i := range list.Instances {
		m := membership.Member{
			Instance:    i.Instance,
			Name:        string(i.Instance),
			Domain:      i.Domain,
			Address:     i.Address,
			PeerAddress: i.PeerAddress,
			State:       membership.Live,
		}
		if i.State == instancelist.Leaving {
			m.State = membership.Leaving
		}
		out = append(out, m)
	}
	return out, nil
}

// membersChanged reports instances that are no longer live as lost replicas, so that
// generations choose others, and updates the members of the rollout.
func (d *Daemon) membersChanged(v *membership.View) {
	live := v.Live(d.cfg.Domain)
	for _, id := range d.lastLive {
		if !slices.Contains(live, id) {
			d.owner.ReplicaLost(id)
		}
	}
	d.lastLive = live
	d.rollout.SetMembers(distributionMembers(v))
}

// live returns the live instances of the failure domain, this one included.
func (d *Daemon) live() []ident.Instance {
	return d.members.View().Live(d.cfg.Domain)
}

// reachablePeers returns all other instances that are not marked as unreachable.
func (d *Daemon) reachablePeers() []ident.Instance {
	var out []ident.Instance
	for _, m := range d.members.View().Members {
		if m.Instance != d.id && m.State != membership.Unreachable {
			out = append(out, m.Instance)
		}
	}
	return out
}

// likelyHolders returns the other instances of the failure domain, the most likely holder of n
// first. Instances that are not live come last, since they may still answer.
func (d *Daemon) likelyHolders(n replica.RequestKey) []ident.Instance {
	v := d.members.View()
	out := rendezvous.Order(string(n.Workspace)+"/"+string(n.Request), v.Live(d.cfg.Domain))
	for _, m := range v.Members {
		if m.Domain == d.cfg.Domain && !slices.Contains(out, m.Instance) {
			out = append(out, m.Instance)
		}
	}
	return slices.DeleteFunc(out, func(id ident.Instance) bool { return id == d.id })
}

// likelyHoldersElsewhere returns the k most likely holders of n in each other failure domain.
func (d *Daemon) likelyHoldersElsewhere(n replica.RequestKey, k int) []ident.Instance {
	v := d.members.View()
	domains := make(map[ident.Domain]bool)
	for _, m := range v.Members {
		domains[m.Domain] = m.Domain != d.cfg.Domain
	}
	var out []ident.Instance
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		if domains[domain] {
			order := rendezvous.Order(string(n.Workspace)+"/"+string(n.Request), v.Live(domain))
			out = append(out, order[:min(len(order), k)]...)
		}
	}
	return out
}

// chooseReplica returns another live instance of the failure domain, outside avoid, to store a
// replica. It returns "" if there is none.
func (d *Daemon) chooseReplica(spec generation.Spec, avoid []ident.Instance) ident.Instance {
	key := string(spec.Workspace) + "/" + string(spec.Request)
	for _, id := range rendezvous.Order(key, d.live()) {
		if id != d.id && !slices.Contains(avoid, id) {
			return id
		}
	}
	return ""
}

// LiveInstances returns the live instances of the failure domain, this one included.
func (d *Daemon) LiveInstances() []ident.Instance {
	return d.live()
}

// PeerByteCounts returns the numbers of bytes exchanged with other instances.
func (d *Daemon) PeerByteCounts() peerlink.Counts {
	return d.link.ByteCounts()
}

// Members returns this instance's view of all instances.
func (d *Daemon) Members() *membership.View {
	return d.members.View()
}
