package plan

import (
	"fmt"
	"maps"
	"slices"

	"crocuslug/configuration"
	"crocuslug/ident"
)

// Usage is the current usage, against which a plan is checked for warnings. With
// the zero value, only warnings that do not depend on usage are given.
type Usage struct {
	Concurrent    map[ident.Workspace]int     // requests in progress on all instances
	TokenRate     map[ident.Workspace]float64 // tokens a second on all instances
	CallerKeyHash string                      // hash of the key with which the plan is requested
}

// warnings returns a sentence for each thing that the change from before to after
// would break.
func warnings(before, after configuration.Document, usage Usage) []string {
	var list []string
	list = append(list, workspaceWarnings(before, after, usage)...)
	list = append(list, modelWarnings(before, after)...)
	list = append(list, serviceWarnings(before, after)...)
	if usage.CallerKeyHash != "" && hasKey(before, usage.CallerKeyHash) && !hasKey(after, usage.CallerKeyHash) {
		list = append(list, "The key that asks for this plan will not be an operator's key any more.")
	}
	if len(before.Operators) > 0 && len(after.Operators) == 0 {
		list = append(list, "No operator is left; only the key from the settings will be taken.")
	}
	return list
}

func workspaceWarnings(before, after configuration.Document, usage Usage) []string {
	var list []string
	old := make(map[ident.Workspace]configuration.Workspace, len(before.Workspaces))
	for _, w := range before.Workspaces {
		old[w.Name] = w
	}
	for _, w := range after.Workspaces {
		if len(old[w.Name].KeyHashes) > 0 && len(w.KeyHashes) == 0 {
			list = append(list, fmt.Sprintf("Workspace %s loses its last key; all its requests will be refused.", w.Name))
		}
		if n := usage.Concurrent[w.Name]; w.MaxConcurrent > 0 && w.MaxConcurrent < n {
			list = append(list, fmt.Sprintf("Workspace %s has %d requests in progress, the limit will be %d.", w.Name, n, w.MaxConcurrent))
		}
		if n := usage.TokenRate[w.Name]; w.TokensPerSecond > 0 && w.TokensPerSecond < n {
			list = append(list, fmt.Sprintf("Workspace %s uses %.0f tokens a second, the limit will be %.0f.", w.Name, n, w.TokensPerSecond))
		}
		delete(old, w.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		if n := usage.Concurrent[name]; n > 0 {
			list = append(list, fmt.Sprintf("Workspace %s goes and has %d requests in progress.", name, n))
		}
	}
	return list
}

func modelWarnings(before, after configuration.Document) []string {
	var list []string
	remaining := servedModels(after)
	for _, m := range slices.Sorted(maps.Keys(servedModels(before))) {
		if !remaining[m] {
			list = append(list, fmt.Sprintf("Model %s has no engine left that takes new work.", m))
		}
	}
	return list
}

// servedModels returns the models of engines that are not leaving.
func servedModels(doc configuration.Document) map[string]bool {
	found := make(map[string]bool)
	for _, u := range doc.Upstreams {
		for _, m := range u.Models {
			if !u.Leaving {
				found[m] = true
			}
		}
	}
	return found
}

func serviceWarnings(before, after configuration.Document) []string {
	var list []string
	servedBefore, servedAfter := servedServices(before), servedServices(after)
	known := make(map[ident.Service]bool, len(before.Services))
	for _, s := range before.Services {
		known[s.Name] = true
	}
	for _, s := range after.Services {
		if !servedAfter[s.Name] && (servedBefore[s.Name] || !known[s.Name]) {
			list = append(list, fmt.Sprintf("Service %s has no upstream that takes new work.", s.Name))
		}
	}
	return list
}

// servedServices returns the services with an upstream that is not leaving.
func servedServices(doc configuration.Document) map[ident.Service]bool {
	found := make(map[ident.Service]bool)
	for _, u := range doc.Upstreams {
		if !u.Leaving {
			found[u.Service] = true
		}
	}
	return found
}

func hasKey(doc configuration.Document, hash string) bool {
	for _, o := range doc.Operators {
		if slices.Contains(o.KeyHashes, hash) {
			return true
		}
	}
	return false
}
