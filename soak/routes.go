package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"crocuslug/directory"
	"crocuslug/nativewire"
)

// addRoutes adds a route at a fixed interval until ctx is done.
func (s *Soak) addRoutes(ctx context.Context) {
	for ctx.Err() == nil {
		s.clock.pause(ctx, configurationInterval)
		var prefix string
		err := s.changeConfiguration(ctx, func(doc *directory.Document, _ *rand.Rand) {
			prefix = fmt.Sprintf("/v%d/", doc.Version)
			next := doc.Routes[safeRoute]
			next.Name, next.Prefix = prefix, prefix
			doc.Routes = append(doc.Routes, next)
		}, nil)
		if err != nil {
			continue
		}
		s.mu.Lock()
		s.addedRoutes = append(s.addedRoutes, &addedRoute{prefix, s.clock.Now(), map[*instance]int{}})
		s.mu.Unlock()
	}
}

// checkRoutes requests the latest added routes from each instance. An instance that
// answers must have them in force within a bound and must not lose them again.
func (s *Soak) checkRoutes(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		s.clock.pause(ctx, routeCheckInterval)
		s.mu.Lock()
		routes := append([]*addedRoute{}, s.addedRoutes...)
		s.mu.Unlock()
		for _, in := range s.cluster.instances {
			for _, r := range routes[max(0, len(routes)-2):] {
				s.checkRoute(in, r, n)
			}
		}
	}
}

func (s *Soak) checkRoute(in *instance, r *addedRoute, n int) {
	before, _ := in.incarnation()
	asked := s.clock.Now()
	status, ok := s.requestOnce(in.listen, fmt.Sprintf("s%d-p%d-%s%s", s.cfg.Seed, n, in.name, r.prefix[1:len(r.prefix)-1]), r.prefix+"x")
	after, changed := in.incarnation()
	if !ok || before != after || status == http.StatusServiceUnavailable {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := status != http.StatusNotFound
	bound := configurationDelay
	if in.store.currentMode() != pass || s.activeCount > 0 {
		bound = configurationDelayByPeers
	}
	switch {
	case known:
		r.seenBy[in] = after
	case r.seenBy[in] == after:
		s.reportViolationLocked("%s: route %s was in force and no longer is", in.name, r.prefix)
	case asked.Sub(r.addedAt) > bound && asked.Sub(changed) > bound && s.clock.since(s.lastFault) > bound:
		s.reportViolationLocked("%s: route %s is not in force after %v", in.name, r.prefix, asked.Sub(r.addedAt))
	}
	s.countCheck("configuration in force, never back")
}

// requestOnce sends one request without a body on a new connection. It reports false if there is no
// answer.
func (s *Soak) requestOnce(address, id, target string) (status int, ok bool) {
	return s.requestOnceWith(address, id, target, "")
}

// requestOnceWith sends one request with a body on a new connection. It reports false if there is no
// answer.
func (s *Soak) requestOnceWith(address, id, target, body string) (status int, ok bool) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, false
	}
	defer conn.Close()
	_ = conn.SetDeadline(s.clock.Now().Add(2 * time.Second))
	text := "GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n" +
		nativewire.RequestField + ": " + id + "\r\n" + nativewire.KeyField + ": " + apiKey + "\r\n" + nativewire.TimeoutField + ": 1s\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, false
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false
	}
	return res.StatusCode, true
}
