package drill

import (
	"fmt"
	"time"

	"github.com/parquet-go/parquet-go"
)

// The kinds of rows, as stored in records.
const (
	kindRequest   = "op"        // a request: its process, id, outcome and latency in ms
	kindRun       = "run"       // a run of a request: its process and the request's id
	kindBegin     = "done"      // the beginning of a fault: its text, action and time in seconds
	kindEnd       = "undone"    // the end of a fault: its text, action and time in seconds
	kindDivergent = "differs"   // the number of processes with a wrong view
	kindViolation = "violation" // a violation: its text and rule
	kindMetric    = "figure"    // a measured value: its name and value
	kindLink      = "link"      // the traffic between two processes
)

// Row is one row of a record. The names of the columns, the kinds and the outcomes are part of the stored format.
type Row struct {
	AtMS    int64   `parquet:"at_ms"`     // since the start of the load
	Kind    string  `parquet:"kind,dict"` // op, run, done, undone, differs, violation, figure or link
	Process string  `parquet:"process,dict"`
	Name    string  `parquet:"name"`
	Outcome string  `parquet:"outcome,dict"`
	Value   float64 `parquet:"value"`
}

// Record is the record of a drill: its requests, events, measurements and violations as rows.
type Record []Row

// schema sets the name of the root of a record's Parquet schema, which would otherwise be the name of the Go type.
var schema = parquet.NewSchema("Row", parquet.SchemaOf(Row{}))

// Save writes the record to a Parquet file.
func (r Record) Save(path string) error { return parquet.WriteFile(path, []Row(r), schema) }

// LoadRecord reads a record from a file that Save has written.
func LoadRecord(path string) (Record, error) {
	rows, err := parquet.ReadFile[Row](path)
	return Record(rows), err
}

// violationCount returns the number of violations of rules and invariants.
func (r Record) violationCount() int { return len(r.rowsOf(kindViolation)) }

func (r Record) rowsOf(kind string) (rows []Row) {
	for _, row := range r {
		if row.Kind == kind {
			rows = append(rows, row)
		}
	}
	return rows
}

// results holds all results of a drill.
type results struct {
	startedAt  time.Time // of the load
	requests   *requestLog
	events     []Event
	divergent  []Row
	links      []Row
	violations []violation
	metrics    []metric
}

// record returns the results as rows. The indexes in the results refer to processes.
func (r *results) record(processes []*process) Record {
	record := r.requestRows(processes)
	for _, event := range r.events {
		kind := kindBegin
		if event.Undo {
			kind = kindEnd
		}
		record = append(record, Row{
			AtMS:    event.At.Milliseconds(),
			Kind:    kind,
			Name:    event.String(),
			Outcome: string(event.Fault.Action),
			Value:   event.At.Seconds(),
		})
	}
	record = append(record, r.divergent...)
	for _, violation := range r.violations {
		record = append(record, Row{
			AtMS:    violation.At.Milliseconds(),
			Kind:    kindViolation,
			Name:    fmt.Sprintf("%6.2fs %s: %s", violation.At.Seconds(), violation.Rule, violation.Detail),
			Outcome: violation.Rule,
		})
	}
	for _, metric := range r.metrics {
		record = append(record, Row{Kind: kindMetric, Name: metric.Name, Value: metric.Value})
	}
	return append(record, r.links...)
}

func (r *results) requestRows(processes []*process) (record Record) {
	r.requests.mu.Lock()
	defer r.requests.mu.Unlock()
	for _, request := range r.requests.requests {
		record = append(record, Row{
			AtMS:    request.sentAt.Sub(r.startedAt).Milliseconds(),
			Kind:    kindRequest,
			Process: processes[request.process].name,
			Name:    request.id,
			Outcome: string(request.outcome),
			Value:   float64(request.answeredAt.Sub(request.sentAt).Microseconds()) / 1000,
		})
		for _, execution := range request.executions {
			record = append(record, Row{
				AtMS:    execution.at.Sub(r.startedAt).Milliseconds(),
				Kind:    kindRun,
				Process: processes[execution.process].name,
				Name:    request.id,
			})
		}
	}
	return record
}
