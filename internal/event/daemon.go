package event

var daemonEvents = []Description{}
