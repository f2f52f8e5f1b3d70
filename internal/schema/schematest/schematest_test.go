package schematest

import "testing"

// Descriptions are removed at every level, while a property whose key is "description" is retained.
func TestWithoutDescriptions(t *testing.T) {
	const schema = `{"description":"text","properties":{"description":{"description":"of a key","type":"string"}},
		"anyOf":[{"description":"in a list","type":"null"}]}`
	const want = `{
 "anyOf": [
  {
   "type": "null"
  }
 ],
 "properties": {
  "description": {
   "type": "string"
  }
 }
}
`
	got, err := WithoutDescriptions([]byte(schema))
	if err != nil || got != want {
		t.Errorf("got %s, %v, want %s", got, err, want)
	}
}
