package agentd

import (
	"cactuspost.example/internal/structs"
	"cactuspost.example/internal/wire"
)

// resultBytesPerFrame bounds the payloads of the results in one frame. With one
// more result of the greatest size the frame is still under its limit.
const resultBytesPerFrame = wire.MaxFrameBytes / 2

// encode returns the message as one frame, or as several if it has many large
// results: after a long outage of an entry all of them are sent at once.
func encode(m *structs.FromAgent) ([]byte, error) {
	var frames []byte
	for _, part := range split(m) {
		var err error
		if frames, err = wire.AppendFromAgent(frames, part); err != nil {
			return nil, err
		}
	}
	return frames, nil
}

// split divides a message in the order in which its parts are handled: hello,
// then results, then the rest with the last results.
func split(m *structs.FromAgent) []*structs.FromAgent {
	if resultBytes(m.Results) <= resultBytesPerFrame {
		return []*structs.FromAgent{m}
	}
	var parts []*structs.FromAgent
	rest := *m
	for resultBytes(rest.Results) > resultBytesPerFrame {
		count := fitting(rest.Results)
		parts = append(parts, &structs.FromAgent{Hello: rest.Hello, Results: rest.Results[:count]})
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

// fitting returns how many of the results go into one frame, at least one.
func fitting(results []structs.Result) int {
	sum := 0
	for i := range results {
		sum += len(results[i].Payload)
		if sum > resultBytesPerFrame {
			return max(i, 1)
		}
	}
	return len(results)
}
