package simulation

import "time"

// Message sizes and delays.
const (
	// memberBytes and upstreamBytes are the sizes of records as the store sends them.
	memberBytes, upstreamBytes = 210, 330
	// compressionRatio is that of a snapshot, configurationCompressionRatio that of a
	// configuration.
	compressionRatio, configurationCompressionRatio = 3, 6
	// callBytes is the size of a request and an empty response.
	callBytes = 300
	// hallDelay and regionDelay are one-way delays within a hall and between regions, storeDelay
	// the store's response time.
	hallDelay, regionDelay = 100 * time.Microsecond, time.Millisecond
	storeDelay             = 4 * time.Millisecond
	// firstByteTimeout bounds the wait for the first byte of a response of the store.
	firstByteTimeout = 1500 * time.Millisecond
	// pollWait and snapshotPollWait are the times after which a router responds to a follower's
	// call without an update, pollGrace the additional time that the follower waits.
	pollWait, snapshotPollWait = 500 * time.Millisecond, time.Second
	pollGrace                  = 400 * time.Millisecond
	// defaultBackoff is the backoff of an unreachable router, startingBackoff that of one without
	// a snapshot.
	defaultBackoff, startingBackoff = 2 * time.Second, 250 * time.Millisecond
	// storeDebounce and peerDebounce are the pauses after an update from the store and from another
	// router, decidePause that between decisions.
	storeDebounce, peerDebounce, decidePause = 500 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond
	// listInterval is the interval between listings of the hall, maxListTime the time after which
	// a starting router stops listing.
	listInterval, maxListTime = 300 * time.Millisecond, 2 * time.Second
	// loaderListInterval is the interval between listings by a loader that has no router.
	loaderListInterval = 2 * time.Second
)

// fleetLink is a link that sends one message at a time.
type fleetLink struct {
	rate float64
	// freeAt is when the link has sent all queued messages, sent the total of their bytes.
	freeAt time.Duration
	sent   int
}

// send queues a message and returns when its transmission starts and ends.
func (l *fleetLink) send(now time.Duration, bytes int) (begin, end time.Duration) {
	begin = max(now, l.freeAt)
	l.freeAt = begin + time.Duration(float64(bytes)/l.rate*float64(time.Second))
	l.sent += bytes
	return begin, l.freeAt
}

type fleetStore struct {
	revision int
	calls    int
	// pendingWrites is the number of changes that are still to be written.
	pendingWrites int
	// watches are called at the next change.
	watches []func()
}

// notifyWatches calls and removes all watches.
func (s *fleetStore) notifyWatches() {
	watches := s.watches
	s.watches = nil
	for _, watch := range watches {
		watch()
	}
}

// snapshotBytes returns the size of the store's snapshot.
func (s *fleetSim) snapshotBytes() int {
	return s.Routers*memberBytes + s.Loaders*upstreamBytes + s.ConfigurationBytes*4/3
}

// updateBytes returns the size of an update between routers, with or without a snapshot of all
// records.
func (s *fleetSim) updateBytes(snapshot bool) int {
	bytes := callBytes + s.ConfigurationBytes*4/3/configurationCompressionRatio
	if !snapshot {
		return bytes
	}
	records := s.Routers*memberBytes + s.Loaders*upstreamBytes
	if s.Strategy.Compressed {
		records /= compressionRatio
	}
	return bytes + records
}
