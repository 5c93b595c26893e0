package provider

import "strconv"

// OptionalNumber is a number in a JSON message that counts as missing if it cannot be decoded, because
// a field that another build sends differently must not invalidate the message.
type OptionalNumber float64

// UnmarshalJSON implements json.Unmarshaler. It never fails.
func (n *OptionalNumber) UnmarshalJSON(data []byte) error {
	*n = 0
	if value, err := strconv.ParseFloat(string(data), 64); err == nil {
		*n = OptionalNumber(value)
	}
	return nil
}
