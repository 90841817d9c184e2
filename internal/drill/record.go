package drill

import (
	"fmt"
	"time"

	"github.com/parquet-go/parquet-go"
)

// Row is one line of the raw record.
type Row struct {
	AtMS    int64   `parquet:"at_ms"`
	Kind    string  `parquet:"kind,dict"` // op, run, done, undone, differs, violation, figure, link
	Process string  `parquet:"process,dict"`
	Name    string  `parquet:"name"`
	Outcome string  `parquet:"outcome,dict"`
	Value   float64 `parquet:"value"`
}

// Record is a rehearsal as it went, row by row.
type Record []Row

// schema names the root of a record's Parquet schema, which would follow the name of the Go type.
var schema = parquet.NewSchema("Row", parquet.SchemaOf(Row{}))

// Save writes it as Parquet.
func (r Record) Save(path string) error { return parquet.WriteFile(path, []Row(r), schema) }

// LoadRecord reads one that was saved.
func LoadRecord(path string) (Record, error) {
	rows, err := parquet.ReadFile[Row](path)
	return Record(rows), err
}

func (r Record) rowsOf(kind string) (rows []Row) {
	for _, row := range r {
		if row.Kind == kind {
			rows = append(rows, row)
		}
	}
	return rows
}

// buildRecord puts together all that was seen.
func buildRecord(w *cluster, log *requestLog, events []Event, differs, links []Row, violations []violation, metrics []metric, startedAt time.Time) (result Record) {
	ms := func(moment time.Time) int64 { return moment.Sub(startedAt).Milliseconds() }
	log.mu.Lock()
	defer log.mu.Unlock()
	for _, request := range log.requests {
		result = append(result, Row{ms(request.sentAt), "op", w.processes[request.process].name, request.id, request.outcome, float64(request.answeredAt.Sub(request.sentAt).Microseconds()) / 1000})
		for _, execution := range request.executions {
			result = append(result, Row{ms(execution.at), "run", w.processes[execution.process].name, request.id, "", 0})
		}
	}
	for _, event := range events {
		kind := "done"
		if event.Undo {
			kind = "undone"
		}
		result = append(result, Row{event.At.Milliseconds(), kind, "", event.String(), event.Fault.Action, event.At.Seconds()})
	}
	result = append(result, differs...)
	for _, violation := range violations {
		result = append(result, Row{violation.At.Milliseconds(), "violation", "", fmt.Sprintf("%6.2fs %s: %s", violation.At.Seconds(), violation.Rule, violation.Detail), violation.Rule, 0})
	}
	for _, m := range metrics {
		result = append(result, Row{0, "figure", "", m.Name, "", m.Value})
	}
	return append(result, links...)
}
