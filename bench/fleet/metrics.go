package fleet

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Metrics returns the metrics of an entry or an agent. The key is the name with its labels.
func (f *Fleet) Metrics(ctx context.Context, name string) (map[string]float64, error) {
	n, err := f.findNode(name)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.commonConfig(n).Metrics+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	values := map[string]float64{}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		i := strings.LastIndexByte(lines.Text(), ' ')
		if i < 0 {
			continue
		}
		if v, err := strconv.ParseFloat(lines.Text()[i+1:], 64); err == nil {
			values[lines.Text()[:i]] = v
		}
	}
	return values, lines.Err()
}

// Entries returns the names of the entries.
func (f *Fleet) Entries() []string {
	var names []string
	for _, n := range f.nodes {
		if n.serviceIndex < 0 {
			names = append(names, n.name)
		}
	}
	return names
}
