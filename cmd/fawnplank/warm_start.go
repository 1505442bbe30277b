package main

import (
	"errors"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"fawnplank/internal/config"
	"fawnplank/internal/dispatch"
	"fawnplank/internal/logging"
	"fawnplank/internal/warmstart"
)

// warmStart saves the warm-start state to a file for the next process of this instance. The state consists of the
// dispatcher's measurements of the backends.
type warmStart struct {
	path           string
	dispatcher     *dispatch.Dispatcher
	lastSaveFailed bool // whether the last save failed; used only by the goroutine of run
	stop           chan struct{}
	running        sync.WaitGroup
}

// newWarmStart imports the state that an earlier process saved, and starts saving the state periodically.
func newWarmStart(settings config.WarmStart, dispatcher *dispatch.Dispatcher) *warmStart {
	w := &warmStart{path: settings.File, dispatcher: dispatcher, stop: make(chan struct{})}
	w.load()
	w.running.Go(func() { w.run(time.Duration(settings.SaveInterval)) })
	return w
}

// Close saves the state one last time. It is called once.
func (w *warmStart) Close() {
	close(w.stop)
	w.running.Wait()
}

func (w *warmStart) load() {
	state, age, err := warmstart.Load(w.path, time.Now())
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err != nil {
		logging.For(warmStartComponent).WithError(err).Warn("state refused")
		return
	}
	w.dispatcher.ImportState(state, age)
	logging.For(warmStartComponent).WithFields(logrus.Fields{
		"age":      age.String(),
		"backends": len(state.Backends),
	}).Info("state imported")
}

func (w *warmStart) run(interval time.Duration) {
	for {
		select {
		case <-w.stop:
			w.save()
			return
		case <-time.After(interval):
			w.save()
		}
	}
}

// save writes the state to the file. It logs only the first of several consecutive errors.
func (w *warmStart) save() {
	err := warmstart.Save(w.path, w.dispatcher.ExportState(), time.Now())
	if err != nil && !w.lastSaveFailed {
		logging.For(warmStartComponent).WithError(err).Error("state not saved")
	}
	w.lastSaveFailed = err != nil
}
