package event

var platformEvents = []Description{}
