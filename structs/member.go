package structs

// Role tells what a member of the platform's list is.
type Role string

// The roles of members.
const (
	RoleEntry  Role = "entry"
	RoleRunner Role = "runner"
	RoleWorker Role = "worker"
)

// MemberState is what the platform's list says of a member.
type MemberState string

// The states of members. A member that is gone is not on the list.
const (
	MemberLive    MemberState = "live"
	MemberLeaving MemberState = "leaving"
)

// Member is one line of the platform's membership list.
type Member struct {
	Name    string      `json:"name"`
	Role    Role        `json:"role"`
	Domain  string      `json:"domain"`
	Rack    string      `json:"rack,omitempty"`
	Address string      `json:"address"`
	State   MemberState `json:"state"`
	Service string      `json:"service,omitempty"`
	// Worker names the worker that a runner shares, if any.
	Worker      string    `json:"worker,omitempty"`
	Slots       int       `json:"slots,omitempty"`
	Connections int       `json:"connections,omitempty"`
	Capacity    Resources `json:"capacity,omitzero"`
}
