package standinsite

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/problem"
	"crocuslug/standinservice"
)

// Booking is the plain service of a site with Services. POST /bookings is an
// action, and other GETs are repeatable look-ups.
const Booking = ident.Service("booking")

// startServices starts the plain services, which share one record of runs.
func (s *Site) startServices() error {
	if s.cfg.Services == 0 {
		return nil
	}
	s.doc.Services = append(s.doc.Services, configuration.Service{Name: Booking, Kind: configuration.Plain, StatusPath: "/bookings/{key}", Timeout: s.cfg.ServiceTimeout})
	s.doc.Rules = append(s.doc.Rules,
		configuration.Rule{Name: "book", Service: Booking, Method: fasthttp.MethodPost, PathPrefix: "/bookings", Once: true},
		configuration.Rule{Name: "look-up", Service: Booking, Method: fasthttp.MethodGet, Repeatable: true})
	record := standinservice.NewRecord()
	for _, domain := range s.cfg.Domains {
		for i := range s.cfg.Services {
			v := standinservice.New(standinservice.Settings{Record: record, Faults: s.cfg.ServiceFaults}, s.stand)
			if err := v.Start(); err != nil {
				return err
			}
			s.Services = append(s.Services, v)
			s.doc.Upstreams = append(s.doc.Upstreams, configuration.Upstream{
				Name:    ident.Upstream(fmt.Sprintf("%s-%s-%d", Booking, domain, i)),
				Service: Booking,
				Address: v.Addr(),
				Domain:  domain,
			})
		}
	}
	return nil
}

// Call is a request to a plain service of the site.
type Call struct {
	Method string
	Path   string // at the service
	Key    string // Idempotency-Key; none if empty
	Body   string
	Limit  time.Duration // 10 s if 0
}

// Reply is the answer to a Call. Status is 0 if there was none.
type Reply struct {
	Status   int
	Body     string
	Replayed bool
	Problem  problem.Details // of a failure that an instance told
}

const defaultCallLimit = 10 * time.Second

// Send sends a call to the instance that takes callers at address.
func (s *Site) Send(address string, c Call) Reply {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(c.Method)
	req.SetRequestURI("http://" + address + "/v1/services/" + string(Booking) + c.Path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+WorkspaceKey)
	if c.Key != "" {
		req.Header.Set("Idempotency-Key", c.Key)
	}
	req.SetBodyString(c.Body)
	if c.Limit == 0 {
		c.Limit = defaultCallLimit
	}
	if err := s.client.DoTimeout(req, resp, c.Limit); err != nil {
		return Reply{}
	}
	r := Reply{Status: resp.StatusCode(), Body: string(resp.Body()), Replayed: len(resp.Header.Peek("Idempotency-Replayed")) > 0}
	if string(resp.Header.ContentType()) == problem.ContentType {
		_ = json.Unmarshal(resp.Body(), &r.Problem)
	}
	return r
}

// Book sends a booking to the instance that takes callers at address.
func (s *Site) Book(address, key, body string) Reply {
	return s.Send(address, Call{Method: fasthttp.MethodPost, Path: "/bookings", Key: key, Body: body})
}
