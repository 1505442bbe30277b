package policy_test

import "fawnplank/policy"

// This file breaks things in a golden day: counter, backends, list, instances and settings.

// breakSomething begins one fault of the day's kinds and plans the next.
func (w *goldenWorld) breakSomething() {
	if w.day.faults == (goldenFaults{}) {
		return
	}
	w.after(goldenSecond/10+w.exponential(w.day.faultInterval), func() {
		var kinds []func()
		f := w.day.faults
		if f.counter {
			kinds = append(kinds, w.breakCounter)
		}
		if f.backends {
			kinds = append(kinds, w.breakBackend)
		}
		if f.draining {
			kinds = append(kinds, w.drainBackend)
		}
		if f.slowStarts {
			kinds = append(kinds, w.startBackend)
		}
		if f.list {
			kinds = append(kinds, w.breakList)
		}
		if f.restarts {
			kinds = append(kinds, w.restartInstance)
		}
		if f.jams {
			kinds = append(kinds, w.jam)
		}
		if f.updates {
			kinds = append(kinds, w.updateSettings)
		}
		kinds[w.randomInt(len(kinds))]()
		w.breakSomething()
	})
}

func (w *goldenWorld) breakCounter() {
	c, duration := &w.counter, goldenSecond/5+w.exponential(goldenSecond)
	switch w.randomInt(6) {
	case 0:
		w.during(&c.refuses, duration)
	case 1:
		w.during(&c.hangs, duration)
	case 2:
		w.during(&c.rejects, duration)
	case 3:
		w.during(&c.breaks, duration)
	case 4:
		w.during(&c.slow, duration)
	case 5:
		clear(c.totals)
		clear(c.until)
	}
}

func (w *goldenWorld) breakBackend() {
	b, duration := w.backends[w.randomInt(len(w.backends))], goldenSecond/2+w.exponential(2*goldenSecond)
	switch w.randomInt(7) {
	case 0:
		w.during(&b.refuses, duration)
	case 1:
		w.during(&b.hangs, duration)
	case 2:
		w.during(&b.resets, duration)
	case 3:
		w.during(&b.errs, duration)
	case 4:
		w.during(&b.slow, duration)
	case 5:
		w.during(&b.unstarted, duration)
	case 6:
		w.during(&b.full, duration)
	}
}

// jam makes every backend hang, or slow, for a while.
func (w *goldenWorld) jam() {
	if w.happens(0.4) {
		w.after(goldenSecond, func() { w.during(&w.pauses, 7*goldenSecond) })
	}
	duration := 2*goldenSecond + w.exponential(2*goldenSecond)
	hang := w.happens(0.5)
	for _, b := range w.backends {
		if hang {
			w.during(&b.hangs, duration)
		} else {
			w.during(&b.slow, duration)
		}
	}
}

func (w *goldenWorld) drainBackend() {
	b := w.backends[w.randomInt(len(w.backends))]
	b.state = policy.EndpointDraining
	w.announce(b)
	w.after(goldenSecond+w.exponential(goldenSecond), func() {
		if w.happens(0.5) {
			b.state = policy.EndpointReady
			w.announce(b)
			return
		}
		w.replace(b)
	})
}

// replace removes a backend from the list for good; another one starts under a new id.
func (w *goldenWorld) replace(b *goldenBackend) {
	b.state = policy.EndpointGone
	w.announce(b)
	for i := range w.backends {
		if w.backends[i] == b {
			w.backends = append(w.backends[:i], w.backends[i+1:]...)
			break
		}
	}
	w.announce(w.addBackend(w.now))
}

// startBackend restarts a backend, which then warms up.
func (w *goldenWorld) startBackend() {
	b := w.backends[w.randomInt(len(w.backends))]
	w.during(&b.refuses, goldenSecond/2)
	w.after(goldenSecond/2, func() {
		b.state, b.started = policy.EndpointReady, w.now
		w.announce(b)
	})
}

func (w *goldenWorld) breakList() { w.during(&w.listDown, goldenSecond+w.exponential(2*goldenSecond)) }

func (w *goldenWorld) restartInstance() {
	in := w.instances[w.randomInt(len(w.instances))]
	if in.engine == nil {
		return
	}
	exported, since := in.engine.ExportState(), w.now
	in.stop()
	w.after(w.exponential(goldenSecond), func() { in.start(&exported, w.now-since) })
}

// updateSettings gives all instances new settings: rows are added, and a value changes.
func (w *goldenWorld) updateSettings() {
	if len(w.settings.Plans) > 12 {
		return
	}
	w.settings.Plans = append(w.settings.Plans[:len(w.settings.Plans):len(w.settings.Plans)],
		policy.PlanSettings{
			Rate:             5 + float64(w.randomInt(10)),
			Burst:            10,
			ConcurrencyLimit: w.randomInt(3),
			OverQuotaCost:    0.6,
		})
	w.settings.Classes = append(w.settings.Classes[:len(w.settings.Classes):len(w.settings.Classes)],
		policy.ClassSettings{LatencyObjective: 300 * goldenMillisecond, Deadline: goldenSecond})
	w.settings.MaxRetryAfter += 100 * goldenMillisecond
	for _, in := range w.instances {
		if in.engine != nil {
			in.engine.UpdateSettings(in.settings())
		}
	}
}
