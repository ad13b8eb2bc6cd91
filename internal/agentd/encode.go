package agentd

import (
	"cactuspost.example/internal/structs"
	"cactuspost.example/internal/wire"
)

// resultBytesPerFrame bounds the payload bytes of the results in one frame. The
// rest of a frame has room for the other fields and one more result of maximum
// size.
const resultBytesPerFrame = wire.MaxFrameBytes / 2

// encode encodes a message as one frame, or as several if its results are large:
// after a long outage of an entry all unacknowledged results are sent at once.
func encode(m *structs.FromAgent) ([]byte, error) {
	var frames []byte
	for _, part := range splitMessage(m) {
		var err error
		if frames, err = wire.AppendFromAgent(frames, part); err != nil {
			return nil, err
		}
	}
	return frames, nil
}

// splitMessage divides a message so that the frames keep the order in which an
// entry handles the fields of one message: hello, then results, then the rest.
// The last part holds the last results and the rest.
func splitMessage(m *structs.FromAgent) []*structs.FromAgent {
	if resultBytes(m.Results) <= resultBytesPerFrame {
		return []*structs.FromAgent{m}
	}
	var parts []*structs.FromAgent
	rest := *m
	for resultBytes(rest.Results) > resultBytesPerFrame {
		count := resultsPerFrame(rest.Results)
		parts = append(parts, &structs.FromAgent{Hello: rest.Hello, Results: rest.Results[:count], Sent: rest.Sent})
		rest.Hello = nil
		rest.Results = rest.Results[count:]
	}
	return append(parts, &rest)
}

func resultBytes(results []structs.Result) int {
	sum := 0
	for i := range results {
		sum += len(results[i].Payload)
	}
	return sum
}

// resultsPerFrame returns how many leading results fit into one frame, at least
// one.
func resultsPerFrame(results []structs.Result) int {
	sum := 0
	for i := range results {
		sum += len(results[i].Payload)
		if sum > resultBytesPerFrame {
			return max(i, 1)
		}
	}
	return len(results)
}
