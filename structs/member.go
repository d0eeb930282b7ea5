package structs

// Role is the kind of process that a member of the platform's membership list
// is.
type Role string

// The roles of members.
const (
	RoleEntry  Role = "entry"
	RoleRunner Role = "runner"
	RoleWorker Role = "worker"
)

// MemberState is the state of a member according to the platform's membership
// list.
type MemberState string

// The states of members. A member that has ended is not on the list.
const (
	MemberLive    MemberState = "live"
	MemberLeaving MemberState = "leaving"
)

// Member is one entry of the platform's membership list.
type Member struct {
	Name    string      `json:"name"`
	Role    Role        `json:"role"`
	Domain  string      `json:"domain"`
	Rack    string      `json:"rack,omitempty"`
	Address string      `json:"address"`
	State   MemberState `json:"state"`
	Service string      `json:"service,omitempty"`
	// Worker is the name of the worker on which a runner runs beside batch
	// work. It is empty if the runner does not share a worker.
	Worker string `json:"worker,omitempty"`
	// Slots and Connections are the numbers of requests and of connections
	// that a runner serves at the same time. Zero means that the list gives no
	// number.
	Slots       int `json:"slots,omitempty"`
	Connections int `json:"connections,omitempty"`
	// Capacity holds the resources of a worker.
	Capacity Resources `json:"capacity,omitzero"`
}
