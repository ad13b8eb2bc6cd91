package entryd

import (
	"time"

	"cactuspost.example/internal/structs"
)

// readStamp is a stamp that was read on a link, with the time as one of the progress.
type readStamp struct {
	stamp  structs.Stamp
	readAt time.Duration
}

// sampleSpacing is the least time between two stamps that are kept until they are handled,
// maxSamples how many are kept. Together they are longer than a core actor may be behind
// without its links being closed.
const (
	sampleSpacing = 50 * time.Millisecond
	maxSamples    = 32
)

// readStamps holds the newest stamp read on a link that is known to be handled, and samples
// of those that are not, oldest first, with the newest one read as the last. It is never
// modified: the link's event loop publishes another one for each message, and the core actor
// reads them.
type readStamps struct {
	handled structs.Stamp
	samples []readStamp
}

// newest returns the newest stamp read.
func (r *readStamps) newest() structs.Stamp {
	if len(r.samples) == 0 {
		return r.handled
	}
	return r.samples[len(r.samples)-1].stamp
}

// handledBy returns the newest stamp that is known to be handled once the core actor has
// handled what was sent to it until the given time.
func (r *readStamps) handledBy(until time.Duration) structs.Stamp {
	for i := len(r.samples) - 1; i >= 0; i-- {
		if r.samples[i].readAt <= until {
			return r.samples[i].stamp
		}
	}
	return r.handled
}

// with returns r with another stamp, which is higher than all of r. The samples that are
// handled by the given time are no longer needed.
func (r *readStamps) with(s readStamp, until time.Duration) *readStamps {
	kept := r.samples
	for len(kept) > 0 && kept[0].readAt <= until {
		kept = kept[1:]
	}
	// The last sample is replaced unless it is far enough from the one before it.
	if n := len(kept); n == maxSamples || (n > 1 && kept[n-1].readAt-kept[n-2].readAt < sampleSpacing) {
		kept = kept[:n-1]
	}
	samples := make([]readStamp, 0, len(kept)+1)
	return &readStamps{handled: r.handledBy(until), samples: append(append(samples, kept...), s)}
}
