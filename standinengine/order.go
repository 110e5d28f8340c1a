package standinengine

import "slices"

// Kinds of orders.
const (
	loadModel   = "load_model"
	unloadModel = "unload_model"
	loadAdapter = "load_adapter"
	setRole     = "set_role"
)

func (s *stateReport) clone() stateReport {
	out := *s
	out.Models = make([]modelState, len(s.Models))
	for i, m := range s.Models {
		m.Adapters = append([]string{}, m.Adapters...)
		out.Models[i] = m
	}
	return out
}

// find returns the loaded model, or nil. An empty version matches any version.
func (s *stateReport) find(model, version string) *modelState {
	for i := range s.Models {
		m := &s.Models[i]
		if m.Model == model && (version == "" || m.Version == version) {
			return m
		}
	}
	return nil
}

// apply executes o. It reports false if the kind of o is unknown, a name is
// missing, or its adapter belongs to a model that is not loaded.
func (s *stateReport) apply(o order) bool {
	m := s.find(o.Model, o.Version)
	switch o.Kind {
	case loadModel:
		if o.Model == "" {
			return false
		}
		if m == nil {
			s.Models = append(s.Models, modelState{o.Model, o.Version, []string{}})
		}
	case unloadModel:
		s.Models = slices.DeleteFunc(s.Models, func(m modelState) bool {
			return m.Model == o.Model && (o.Version == "" || m.Version == o.Version)
		})
	case loadAdapter:
		if m == nil || o.Adapter == "" {
			return false
		}
		if !slices.Contains(m.Adapters, o.Adapter) {
			m.Adapters = append(m.Adapters, o.Adapter)
		}
	case setRole:
		s.Role = o.Role
	default:
		return false
	}
	s.FencingNumber = o.FencingNumber
	return true
}
