package table

// The paths of the service.
const (
	// RowPath reads one row, named by the query argument "key". If-None-Match
	// with the version in quotes asks for a changed row only.
	RowPath = "/v1/row"
	// ListPath reads the rows whose keys begin with the query argument "prefix".
	ListPath = "/v1/rows"
	// CommitPath carries out the transaction in the body.
	CommitPath = "/v1/commit"
)

// CommitRequest is the body of a commit.
type CommitRequest struct {
	Operations Transaction `json:"operations"`
}

// CommitAnswer is the body of a successful commit.
type CommitAnswer struct {
	Version uint64 `json:"version"`
}

// ListAnswer is the body of a list.
type ListAnswer struct {
	Rows []Row `json:"rows"`
}

// Refusal is the body of every status other than success.
type Refusal struct {
	Detail string `json:"detail"`
	// Key, Expected and Present are set for a conflict.
	Key      string `json:"key,omitempty"`
	Expected uint64 `json:"expected"`
	Present  uint64 `json:"present"`
}
