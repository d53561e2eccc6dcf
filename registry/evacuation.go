package registry

import (
	"maps"
	"slices"
)

// Evacuated returns the failure domains that are to be evacuated at the view's revision, sorted.
func (v *View) Evacuated() []string { return slices.Sorted(maps.Keys(v.evacuated)) }

// withdrawUnlisted makes an update whose Evacuated holds all domains withdraw the view's others.
func (v *View) withdrawUnlisted(r *Update) {
	r.Withdrawn = nil
	for _, domain := range v.Evacuated() {
		if !slices.Contains(r.Evacuated, domain) {
			r.Withdrawn = append(r.Withdrawn, domain)
		}
	}
}

// applyEvacuations applies the evacuations of an update to the view. It reports whether the set has changed.
func (v *View) applyEvacuations(r *Update) bool {
	before := maps.Clone(v.evacuated)
	for _, domain := range r.Evacuated {
		if v.evacuated == nil {
			v.evacuated = map[string]bool{}
		}
		v.evacuated[domain] = true
	}
	for _, domain := range r.Withdrawn {
		delete(v.evacuated, domain)
	}
	return !maps.Equal(before, v.evacuated)
}

// ForPeers returns an update from the source as it is sent to peers after the view has applied it. A peer may have
// a revision between the update's two, so that the update states all evacuated domains.
func (v *View) ForPeers(r Update) Update {
	r.Evacuated, r.Withdrawn = v.Evacuated(), nil
	return r
}
