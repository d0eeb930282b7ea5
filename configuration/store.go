// Package configuration keeps the configuration that is in force on one entry instance.
// An operator applies a declaration through one instance, which calls Store.Apply; this
// call is named an apply. A declaration is what the operator writes, and a
// declaration.Deployment is its decoded form. An apply that changes the configuration is
// accepted by a conditional write to the platform's table, which makes the change the
// next version. Changes reach other instances by pushes through a relay tree and by
// polling. A version is never replaced by a lower one.
package configuration

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"bergamotstile/declaration"
	"bergamotstile/logging"
	"bergamotstile/metrics"
	"bergamotstile/peer"
	"bergamotstile/platform"
	"bergamotstile/ring"
	"bergamotstile/structs"
)

// Limits of the propagation of changes.
const (
	// fanOut is the number of peers to which each instance passes on a push.
	fanOut = 4
	// snapshotInterval is the number of versions between snapshots.
	snapshotInterval = 256
	// keptChanges is the number of newest change rows that stay in the table. An
	// instance that lacks older changes has to start from the snapshot.
	keptChanges = 3 * snapshotInterval
	// maxRecentBytes bounds the changes that are kept in memory for peers that lack
	// them. It is about a thousand changes of the usual size.
	maxRecentBytes = 1 << 20
	// pushQueueLength bounds the queued pushes. If a push is dropped, its receivers
	// get the change at their next poll.
	pushQueueLength = 64
	// maxBranchAttempts is the number of peers in a branch to which a push is tried,
	// so that a domain that is cut off does not delay later pushes.
	maxBranchAttempts = 3
	// pushTimeout bounds one push to a peer, so that a dead peer delays the others in
	// its branch only briefly. It also bounds one fetch from a peer.
	pushTimeout = 500 * time.Millisecond
)

// Errors inside the package. Callers of Apply receive refusals instead.
var (
	errCorrupt = errors.New("configuration record is not valid")
	errGap     = errors.New("changes are missing")
)

// Table is the part of the platform's table that the store uses.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]platform.Row, error)
	Commit(ctx context.Context, tx platform.Transaction) (platform.CommitResult, error)
}

// Objects is the part of the platform's object store that the store uses.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// Peers calls other entry instances by address.
type Peers interface {
	Push(ctx context.Context, address string, m *peer.PushRequest) (*peer.PushResponse, error)
	Fetch(ctx context.Context, address string, m *peer.FetchRequest) (*peer.FetchResponse, error)
}

var _ Peers = (*peer.Client)(nil)

// View lists the entry instances that are live and not draining, including this one. An
// empty domain stands for all domains.
type View interface {
	Entries(domain string) []structs.Member
}

// Options holds the settings and dependencies of a store. Log and Metrics may be nil.
type Options struct {
	// Name is this instance's name in the view.
	Name    string
	Table   Table
	Objects Objects
	Peers   Peers
	View    View
	Clock   clockwork.Clock
	// Poll is the time between two reads of the head row.
	Poll    time.Duration
	Limits  declaration.Limits
	Log     logrus.FieldLogger
	Metrics *metrics.Set
}

// Store holds the configuration in force on one instance and keeps it up to date.
type Store struct {
	options       Options
	pushes        *ring.Queue[peer.PushRequest]
	pollRequested chan struct{}

	// snapshotInterval and keptChanges are the constants of the same names, except
	// that tests set lower values.
	snapshotInterval, keptChanges uint64

	mu            sync.Mutex
	state         configState
	recentChanges []peer.ConfigChange
	// recentBytes is the total size of the values in recentChanges.
	recentBytes int
	// hasReadHead is set once the head row has been read.
	hasReadHead bool
	// nextPeer is the number of peers that selectPeers has chosen in rotation so far. It
	// determines which peers are chosen next.
	nextPeer int
}

// configState is the configuration at one version. Its fields are never modified.
// decodedEntries and deployment are derived from entries.
type configState struct {
	version        uint64
	digest         string
	entries        declaration.Entries
	decodedEntries declaration.DecodedEntries
	deployment     *declaration.Deployment
}

// New returns a store without a configuration.
func New(o Options) *Store {
	o.Log = logging.ForComponent(o.Log, "config")
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return &Store{
		options:       o,
		pushes:        ring.New[peer.PushRequest](pushQueueLength),
		pollRequested: make(chan struct{}, 1),
		state:         configState{entries: declaration.Entries{}, decodedEntries: declaration.DecodedEntries{}},

		snapshotInterval: snapshotInterval,
		keptChanges:      keptChanges,
	}
}

// Current returns the deployment in force and its version, or nil and zero before the
// first version. The caller must not modify the deployment.
func (s *Store) Current() (*declaration.Deployment, uint64) {
	current := s.current()
	return current.deployment, current.version
}

// Synced reports whether the instance has a configuration, or has read the head row and
// so knows whether one exists.
func (s *Store) Synced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.version > 0 || s.hasReadHead
}

func (s *Store) current() configState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Serve polls and pushes until ctx ends.
func (s *Store) Serve(ctx context.Context) error {
	var pusher sync.WaitGroup
	pusher.Go(func() { s.sendQueuedPushes(ctx) })
	defer pusher.Wait()
	ticker := s.options.Clock.NewTicker(s.options.Poll)
	defer ticker.Stop()
	s.poll(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		case <-s.pollRequested:
		}
		s.poll(ctx)
	}
}

// poll installs the changes up to the table's version or, if reading the table fails, up
// to the highest version among peers.
func (s *Store) poll(ctx context.Context) {
	err := s.pollTable(ctx)
	if err == nil {
		return
	}
	s.options.Metrics.Count("config_poll_failed", 1)
	s.options.Log.Debugf("poll failed: %v", err)
	s.fetchFromPeers(ctx)
}

// pollTable polls the table. It waits for at most one poll interval.
func (s *Store) pollTable(ctx context.Context) error {
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, s.options.Poll)
	defer cancel()
	_, err := s.catchUp(ctx)
	return err
}

// requestPoll makes Serve poll before the next tick.
func (s *Store) requestPoll() {
	select {
	case s.pollRequested <- struct{}{}:
	default:
	}
}
