package peer

//go:generate sh -c "cd ../.. && go build -o bin/ google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go && protoc --plugin=bin/protoc-gen-go --plugin=bin/protoc-gen-connect-go --go_out=. --go_opt=module=cactuspost.example --connect-go_out=. --connect-go_opt=module=cactuspost.example internal/peer/peer.proto"
