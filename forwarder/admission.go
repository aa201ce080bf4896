package forwarder

import "github.com/tanagerdock/tanagerdock/steering"

func (d *Daemon) admissionState() (state steering.AdmissionState) {
	d.locked(func() { state = d.engine.AdmissionState() })
	return state
}

// admissionGauges are the gauges for new flows that are refused while room is short.
var admissionGauges = map[string]func(steering.AdmissionState) int64{
	"refused_wrongly":  func(s steering.AdmissionState) int64 { return s.WrongRefusals },
	"admitted_wrongly": func(s steering.AdmissionState) int64 { return s.WrongAdmissions },
}
