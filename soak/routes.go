package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"crocuslug/directory"
	"crocuslug/nativewire"
)

// changeConfiguration adds a route again and again.
func (s *Soak) changeConfiguration(ctx context.Context) {
	for ctx.Err() == nil {
		s.clock.pause(ctx, changeEvery)
		w := s.world
		before := w.doc
		prefix := fmt.Sprintf("/v%d/", w.doc.Version)
		next := w.doc.Routes[2]
		next.Name, next.Prefix = prefix, prefix
		w.doc.Routes = append(append([]directory.Route{}, w.doc.Routes...), next)
		w.doc.Version += 3 // versions rise in uneven steps
		if err := w.writeConfiguration(ctx); err != nil {
			w.doc = before // with a lost answer the next try may meet a conflict
			if e, err := w.port.Get(ctx, nativewire.ConfigurationKey); err == nil {
				w.revision = e.Version
			}
			continue
		}
		s.mu.Lock()
		s.routes = append(s.routes, &newRoute{prefix, s.clock.Now(), map[*instance]int{}})
		s.mu.Unlock()
	}
}

// checkRoutes asks each instance for routes that were added. One that answers
// must know them after a while, and may not forget them.
func (s *Soak) checkRoutes(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		s.clock.pause(ctx, checkEvery)
		s.mu.Lock()
		routes := append([]*newRoute{}, s.routes...)
		s.mu.Unlock()
		for _, in := range s.world.instances {
			for _, r := range routes[max(0, len(routes)-2):] {
				s.checkRoute(in, r, n)
			}
		}
	}
}

func (s *Soak) checkRoute(in *instance, r *newRoute, n int) {
	before, _ := in.incarnation()
	asked := s.clock.Now()
	status, ok := s.askOnce(in.listen, fmt.Sprintf("s%d-p%d-%s%s", s.cfg.Seed, n, in.name, r.prefix[1:len(r.prefix)-1]), r.prefix+"x")
	after, changed := in.incarnation()
	if !ok || before != after || status == http.StatusServiceUnavailable {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := status != http.StatusNotFound
	bound := configurationAt
	if in.store.get() != pass || s.active > 0 {
		bound = configurationFar
	}
	switch {
	case known:
		r.seen[in] = after
	case r.seen[in] == after:
		s.violateLocked("%s: route %s was in force and is no longer", in.name, r.prefix)
	case asked.Sub(r.at) > bound && asked.Sub(changed) > bound && s.clock.since(s.lastFault) > bound:
		s.violateLocked("%s: route %s is not in force after %v", in.name, r.prefix, asked.Sub(r.at))
	}
	s.checked("configuration in force, never back")
}

// askOnce sends one request on a new connection.
func (s *Soak) askOnce(address, id, target string) (status int, ok bool) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, false
	}
	defer conn.Close()
	_ = conn.SetDeadline(s.clock.Now().Add(2 * time.Second))
	text := "GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n" +
		nativewire.RequestField + ": " + id + "\r\n" + nativewire.KeyField + ": " + apiKey + "\r\n" + nativewire.TimeoutField + ": 1s\r\n\r\n"
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, false
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false
	}
	return res.StatusCode, true
}
