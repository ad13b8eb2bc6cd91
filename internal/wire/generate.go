package wire

//go:generate sh -c "cd ../.. && go build -o bin/ google.golang.org/protobuf/cmd/protoc-gen-go && protoc --plugin=bin/protoc-gen-go --go_out=. --go_opt=module=cactuspost.example internal/wire/link.proto"
