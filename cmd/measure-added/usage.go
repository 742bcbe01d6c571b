package main

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// usage is the use of resources by the entry process since its start: CPU seconds, allocations and allocated bytes.
type usage struct {
	cpuSeconds, allocations, bytes float64
}

func (u usage) sub(v usage) usage {
	return usage{u.cpuSeconds - v.cpuSeconds, u.allocations - v.allocations, u.bytes - v.bytes}
}

// usage reads the resource usage from the metrics of the entry process.
func (f *fleet) usage() (usage, error) {
	text, err := f.get("/metrics")
	if err != nil {
		return usage{}, err
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		return usage{}, errors.Wrap(err, "measure-added")
	}
	value := func(name string) float64 {
		if metrics := families[name].GetMetric(); len(metrics) == 1 {
			return metrics[0].GetCounter().GetValue()
		}
		return 0
	}
	return usage{
		cpuSeconds: value("process_cpu_seconds_total"), allocations: value("go_memstats_mallocs_total"),
		bytes: value("go_memstats_alloc_bytes_total"),
	}, nil
}
