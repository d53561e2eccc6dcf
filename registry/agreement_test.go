package registry

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonlink/wigeonlink/table"
)

type (
	// deploymentModel is a source with its history, and the views of the hosts that read it and exchange what they
	// have read.
	deploymentModel struct {
		now       time.Time
		era       uint64
		revision  uint64
		items     map[string]table.Target
		history   []modelChange
		compacted uint64                             // changes up to this revision are not available
		states    map[[2]uint64]map[string]time.Time // start times of the targets by name, for each era and revision
		evacuated map[string]bool
		sets      map[[2]uint64][]string // evacuated domains, for each era and revision
		views     []*View
		available bool
	}

	// modelChange is a change of one target.
	modelChange struct {
		revision uint64
		target   table.Target
		removed  bool
		domain   string // of an evacuation that is requested or, if removed, withdrawn; empty for a target
	}
)

func newDeploymentModel(hosts int) *deploymentModel {
	m := &deploymentModel{
		now: start, revision: 10, items: map[string]table.Target{}, available: true,
		states: map[[2]uint64]map[string]time.Time{}, evacuated: map[string]bool{}, sets: map[[2]uint64][]string{},
	}
	for range hosts {
		m.views = append(m.views, &View{})
	}
	m.recordState()
	return m
}

// recordState records the content at the current revision.
func (m *deploymentModel) recordState() {
	content := map[string]time.Time{}
	for name, t := range m.items {
		content[name] = t.StartTime
	}
	m.states[[2]uint64{m.era, m.revision}] = content
	m.sets[[2]uint64{m.era, m.revision}] = slices.Sorted(maps.Keys(m.evacuated))
}

// evacuate requests the evacuation of a domain, or withdraws it.
func (m *deploymentModel) evacuate(domain string, withdrawn bool) {
	m.revision++
	if withdrawn {
		delete(m.evacuated, domain)
	} else {
		m.evacuated[domain] = true
	}
	m.history = append(m.history, modelChange{revision: m.revision, removed: withdrawn, domain: domain})
	m.recordState()
}

// write puts a target, or removes it.
func (m *deploymentModel) write(name string, process int, removed bool) {
	m.revision++
	at := table.Target{Name: name, StartTime: start.Add(time.Duration(process) * time.Hour)}
	if removed {
		delete(m.items, name)
	} else {
		m.items[name] = at
	}
	m.history = append(m.history, modelChange{revision: m.revision, target: at, removed: removed})
	m.recordState()
}

// wait advances the time and lets retained targets expire.
func (m *deploymentModel) wait(d time.Duration) {
	m.now = m.now.Add(d)
	for _, v := range m.views {
		v.Expire(m.now)
	}
}

// restore begins a new era, in which some revisions, a target and an evacuation are lost.
func (m *deploymentModel) restore(lost uint64, name, domain string) {
	m.era++
	m.revision -= min(lost, m.revision-10)
	m.compacted, m.history = m.revision, nil
	delete(m.items, name)
	delete(m.evacuated, domain)
	m.recordState()
}

// fetch returns what the source answers to a read by a view.
func (m *deploymentModel) fetch(v *View) Update {
	if v.NeedsFull() || v.Era() != m.era || v.Revision() < m.compacted {
		r := Update{Full: true, Era: m.era, Revision: m.revision, ContentRevision: m.revision}
		for _, name := range slices.Sorted(maps.Keys(m.items)) {
			r.Put(m.items[name])
		}
		for domain := range m.evacuated {
			r.Evacuate(domain)
		}
		return r
	}
	r := Update{Era: m.era, Base: v.Revision(), Revision: m.revision}
	for _, e := range m.history {
		switch {
		case e.revision <= v.Revision():
		case e.domain != "" && e.removed:
			r.Withdraw(e.domain)
		case e.domain != "":
			r.Evacuate(e.domain)
		case e.removed:
			r.Remove(e.target.Name)
		default:
			r.Put(e.target)
		}
	}
	return r
}

// read makes a host read the source, and sends the update or a confirmation to the hosts in reached.
func (m *deploymentModel) read(host int, reached []int) {
	v := m.views[host]
	if !m.available {
		v.RecordFailure(m.now)
		return
	}
	r := m.fetch(v)
	c := v.ApplySourceUpdate(m.now, m.now, r)
	r = v.ForPeers(r)
	for _, i := range reached {
		if i == host {
			continue
		}
		if !c.Content {
			m.confirm(i, host)
		} else if _, ok := m.views[i].ApplyPeerUpdate(m.now, 0, r); !ok {
			m.views[i].ApplyPeerUpdate(m.now, 0, v.Snapshot())
		}
	}
}

// confirm delivers a heartbeat of one host to another one.
func (m *deploymentModel) confirm(host, from int) {
	peer := m.views[from]
	if peer.Initialized() && !m.views[host].Confirm(m.now, peer.Confirmation(m.now)) {
		m.views[host].ApplyPeerUpdate(m.now, 0, peer.Snapshot())
	}
}

// check fails if a view lists other targets than the source did at the view's revision.
func (m *deploymentModel) check(t *rapid.T) {
	for i, v := range m.views {
		if !v.Initialized() {
			continue
		}
		want := m.states[[2]uint64{v.Era(), v.Revision()}]
		listed := map[string]time.Time{}
		for _, s := range v.Snapshot().Targets {
			listed[s.Name] = s.StartTime
		}
		if !maps.Equal(want, listed) {
			t.Fatalf("host %d at revision %d of era %d lists %v, the source had %v", i, v.Revision(), v.Era(), listed, want)
		}
		if set := m.sets[[2]uint64{v.Era(), v.Revision()}]; !slices.Equal(v.Evacuated(), set) {
			t.Fatalf("host %d at revision %d of era %d evacuates %v, the source had %v", i, v.Revision(), v.Era(), v.Evacuated(), set)
		}
		inUse := v.Targets()
		for name := range want {
			if _, ok := inUse[name]; !ok {
				t.Fatalf("host %d at revision %d does not use %s, which the source lists", i, v.Revision(), name)
			}
		}
	}
}

// Hosts must have the targets that the source had at their revision, also if updates between them are lost, and if
// an update does not change the reader's own targets in use. After an outage of the source in which entries lapsed, the
// reader retained the targets and sent no update when they were listed again, so that the other hosts lost them for good, and
// later missed that one left (review/2).
func TestHostsAgreeWithSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 4).Draw(t, "hosts")
		m := newDeploymentModel(hosts)
		names := rapid.SampledFrom([]string{"a", "b", "c"})
		anyHost := rapid.IntRange(0, hosts-1)
		t.Repeat(map[string]func(*rapid.T){
			"put":    func(t *rapid.T) { m.write(names.Draw(t, "name"), rapid.IntRange(0, 1).Draw(t, "process"), false) },
			"remove": func(t *rapid.T) { m.write(names.Draw(t, "name"), 0, true) },
			"lapse and return": func(t *rapid.T) {
				name := names.Draw(t, "name")
				if at, ok := m.items[name]; ok {
					process := int(at.StartTime.Sub(start) / time.Hour)
					m.write(name, process, true)
					m.write(name, process, false)
				}
			},
			"evacuate":  func(t *rapid.T) { m.evacuate(names.Draw(t, "domain"), false) },
			"withdraw":  func(t *rapid.T) { m.evacuate(names.Draw(t, "domain"), true) },
			"other key": func(*rapid.T) { m.revision++; m.recordState() },
			"read": func(t *rapid.T) {
				m.read(anyHost.Draw(t, "reader"), rapid.SliceOfDistinct(anyHost, rapid.ID[int]).Draw(t, "reached"))
			},
			"heartbeat": func(t *rapid.T) { m.confirm(anyHost.Draw(t, "to"), anyHost.Draw(t, "from")) },
			"restart":   func(t *rapid.T) { m.views[anyHost.Draw(t, "host")] = &View{} },
			"compact":   func(*rapid.T) { m.compacted, m.history = m.revision, nil },
			"outage":    func(t *rapid.T) { m.available = rapid.Bool().Draw(t, "available") },
			"wait": func(t *rapid.T) {
				m.wait(time.Duration(rapid.IntRange(100, 2500).Draw(t, "ms")) * time.Millisecond)
			},
			"restore": func(t *rapid.T) {
				m.restore(uint64(rapid.IntRange(0, 4).Draw(t, "lost")), names.Draw(t, "name"), names.Draw(t, "domain"))
			},
			"": m.check,
		})
	})
}
