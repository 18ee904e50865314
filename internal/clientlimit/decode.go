package clientlimit

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// DecodeList decodes a JSON array of at most limit elements. Elements beyond that are not
// decoded, so that a body of many small elements does not take many times its size. If strict is
// set, unknown fields are an error.
func DecodeList[T any](data []byte, limit int, strict bool) ([]T, error) {
	if string(data) == "null" {
		return nil, nil
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	if strict {
		dec.DisallowUnknownFields()
	}
	var list []T
	if data[0] != '[' {
		return nil, json.Unmarshal(data, &list) // An error that names the type.
	}
	if _, err := dec.Token(); err != nil {
		return nil, err
	}
	list = []T{}
	for dec.More() {
		if len(list) == limit {
			return nil, fmt.Errorf("list has more than %d elements", limit)
		}
		var element T
		if err := dec.Decode(&element); err != nil {
			return nil, err
		}
		list = append(list, element)
	}
	return list, nil
}
