// Package configuration keeps the configuration in force on one entry
// instance. Changes are accepted by a conditional write to the platform's
// table and spread by pushes through a relay tree and by polling. A version is
// never replaced by a lower one.
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

// Figures of propagation.
const (
	// fanOut is the number of peers that each instance passes a push on to.
	fanOut = 4
	// snapshotEvery is the number of versions between snapshots.
	snapshotEvery = 256
	// keepChanges is the number of newest change rows that stay in the table.
	// An instance that is further behind starts from the snapshot.
	keepChanges = 3 * snapshotEvery
	// recentMaxBytes bounds the changes kept for peers that are behind. It is
	// about a thousand changes of the usual size.
	recentMaxBytes = 1 << 20
	// pushQueue bounds the pushes that wait; a push that is dropped costs its
	// receivers one poll.
	pushQueue = 64
	// branchTries is the number of peers of a branch that a push tries, so that
	// a domain that is cut off does not hold up later pushes.
	branchTries = 3
	// pushTimeout bounds one push to a peer, so that a dead one holds up the
	// rest of its branch only briefly.
	pushTimeout = 500 * time.Millisecond
)

// Errors inside the package; callers of Apply see refusals.
var (
	errCorrupt = errors.New("configuration record is not valid")
	errGap     = errors.New("changes are missing")
)

// Table is what the store needs of the platform's table.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]platform.Row, error)
	Commit(ctx context.Context, tx platform.Transaction) (platform.CommitResult, error)
}

// Objects is what the store needs of the platform's object store.
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

// View lists the entry instances that are live and not draining, this one
// included; an empty domain stands for all.
type View interface {
	Entries(domain string) []structs.Member
}

// Options are the parts that a store works with. Log and Metrics may be nil.
type Options struct {
	// Name is this instance's name in the view.
	Name    string
	Table   Table
	Objects Objects
	Peers   Peers
	View    View
	Clock   clockwork.Clock
	// Poll is the time between readings of the head row.
	Poll    time.Duration
	Limits  declaration.Limits
	Log     logrus.FieldLogger
	Metrics *metrics.Set
}

// Store is the configuration in force on one instance.
type Store struct {
	o      Options
	pushes *ring.Ring[peer.PushRequest]
	kick   chan struct{}

	// snapshotEvery and keepChanges are the constants, but smaller in tests.
	snapshotEvery, keepChanges uint64

	mu     sync.Mutex
	state  state
	recent []peer.ConfigChange
	// recentBytes is the size of the values in recent.
	recentBytes int
	// readHead tells that the head row was read at least once.
	readHead bool
	// turn moves the choice of peers that are asked during an outage.
	turn int
}

// state is the configuration at one version. Its parts are never changed.
type state struct {
	version    uint64
	digest     string
	entries    declaration.Entries
	parts      declaration.Parts
	deployment *declaration.Deployment
}

// New returns a store without a configuration.
func New(o Options) *Store {
	o.Log = logging.Part(o.Log, "config")
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return &Store{
		o:      o,
		pushes: ring.New[peer.PushRequest](pushQueue),
		kick:   make(chan struct{}, 1),
		state:  state{entries: declaration.Entries{}, parts: declaration.Parts{}},

		snapshotEvery: snapshotEvery,
		keepChanges:   keepChanges,
	}
}

// Current returns the deployment in force and its version, or nil and zero
// before the first one. The deployment must not be changed.
func (s *Store) Current() (*declaration.Deployment, uint64) {
	current := s.current()
	return current.deployment, current.version
}

// Synced reports whether the instance knows a configuration, or has read from
// the table that there is none yet. Until then it is not ready.
func (s *Store) Synced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.version > 0 || s.readHead
}

func (s *Store) current() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Serve polls and pushes until ctx ends.
func (s *Store) Serve(ctx context.Context) error {
	var pusher sync.WaitGroup
	pusher.Go(func() { s.servePushes(ctx) })
	defer pusher.Wait()
	ticker := s.o.Clock.NewTicker(s.o.Poll)
	defer ticker.Stop()
	s.poll(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		case <-s.kick:
		}
		s.poll(ctx)
	}
}

// poll brings the instance up to the table's version, or to that of its peers
// while the table does not answer.
func (s *Store) poll(ctx context.Context) {
	err := s.pollTable(ctx)
	if err == nil {
		return
	}
	s.o.Metrics.Count("config_poll_failed", 1)
	s.o.Log.Debugf("poll failed: %v", err)
	s.fetchFromPeers(ctx)
}

// pollTable gives a slow table one poll interval to answer.
func (s *Store) pollTable(ctx context.Context) error {
	ctx, cancel := clockwork.WithTimeout(ctx, s.o.Clock, s.o.Poll)
	defer cancel()
	_, err := s.catchUp(ctx)
	return err
}

// pollSoon asks Serve for a poll before the next tick.
func (s *Store) pollSoon() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}
