package table

// HTTP paths of the service.
const (
	// RowPath reads one row, whose key is the query parameter "key". With the
	// header If-None-Match and the version in quotes, the row is returned only if
	// its version is another one.
	RowPath = "/v1/row"
	// ListPath reads the rows whose keys begin with the query parameter "prefix".
	ListPath = "/v1/rows"
	// CommitPath commits the transaction in the body.
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

// Refusal is the body of an answer with an error status.
type Refusal struct {
	Detail string `json:"detail"`
	// Key, Expected and Present are set for a conflict.
	Key      string `json:"key,omitempty"`
	Expected uint64 `json:"expected"`
	Present  uint64 `json:"present"`
}
